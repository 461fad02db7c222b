package cli

import (
	"fmt"
	"io"
	"strings"
	"time"
	"unicode"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/servedaemon"
)

// microRequestsPerRequest converts the rates of a status, which are in
// micro-requests per second.
const microRequestsPerRequest = 1e6

// sanitizeCell replaces unprintable characters with spaces, because an entry may
// quote remote input with line breaks or terminal escape sequences. It returns
// "-" for an empty string.
func sanitizeCell(s string) string {
	if s == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return ' '
	}, s)
}

func formatNumber(n uint64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

func printAudit(w io.Writer, entries []audit.Entry) {
	fmt.Fprintln(w, "SEQ\tTIME\tKIND\tSUBJECT\tVERSION\tPUBLISHER\tCAUSE")
	for _, e := range entries {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Seq, e.Time.UTC().Format(time.RFC3339), sanitizeCell(e.Kind),
			sanitizeCell(e.Subject), formatNumber(e.Version), sanitizeCell(e.Publisher), sanitizeCell(e.Cause))
		for _, d := range e.Details {
			fmt.Fprintf(w, "\t\t\t\t\t\t- %s\n", sanitizeCell(d))
		}
	}
}

func printStatus(w io.Writer, st *servedaemon.Status) {
	fmt.Fprintf(w, "vm\t%s\n", sanitizeCell(st.VM))
	fmt.Fprintf(w, "zone\t%s\n", sanitizeCell(st.Zone))
	fmt.Fprintf(w, "ready\t%s (%s)\n", yesNo(st.Ready), sanitizeCell(st.ReadyReason))
	fmt.Fprintf(w, "configuration\tversion %d, digest %s\n", st.ConfigVersion, sanitizeCell(st.ConfigDigest))
	fmt.Fprintf(w, "vm list\trevision %d, %d VMs, %s\n", st.ListRevision, st.VMs, confirmationAge(st.ListAgeMs))
	fmt.Fprintf(w, "platform reads\t%d, reader of its zone: %s\n", st.PlatformReads, yesNo(st.Reader))
	fmt.Fprintf(w, "quota\tslots %v, settled: %s, supported by peers: %s\n",
		st.Quota.Slots, yesNo(st.Quota.Settled), yesNo(st.Quota.Supported))
	fmt.Fprintf(w, "routing\tshares active: %s, view current: %s\n",
		yesNo(st.Routing.Mature), yesNo(st.Routing.ViewCurrent))
	fmt.Fprintf(w, "running requests\t%d\n", st.Running)
	printCustomers(w, st.Quota.Customers)
	printInactive(w, st)
}

// printCustomers prints this VM's share of each limit, in requests per second.
func printCustomers(w io.Writer, customers []quota.CustomerStatus) {
	if len(customers) == 0 {
		return
	}
	fmt.Fprintln(w, "\nCUSTOMER\tRATE\tOWNED\tLENT\tBORROWED\tDEMAND\tADMITTED\tREFUSED")
	for _, c := range customers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", sanitizeCell(c.Customer), perSecond(c.Limit.Rate),
			perSecond(c.Owned.Rate), perSecond(c.Lent.Rate), perSecond(c.Borrowed.Rate), perSecond(c.Demand),
			c.Admitted, c.Refused)
	}
}

// printInactive prints the upstreams that receive no requests, and why.
func printInactive(w io.Writer, st *servedaemon.Status) {
	header := "\nUPSTREAM\tZONE\tINACTIVE BECAUSE\n"
	for _, u := range st.Routing.Upstreams {
		if u.Inactive == "" {
			continue
		}
		fmt.Fprintf(w, "%s%s\t%s\t%s\n", header, sanitizeCell(u.Upstream), sanitizeCell(u.Zone), sanitizeCell(string(u.Inactive)))
		header = ""
	}
}

func perSecond(micro int64) string {
	return fmt.Sprintf("%.1f", float64(micro)/microRequestsPerRequest)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func confirmationAge(ageMs int64) string {
	if ageMs < 0 {
		return "never confirmed"
	}
	return fmt.Sprintf("confirmed %d ms ago", ageMs)
}
