package capacity

import (
	"fmt"
	"strconv"
	"strings"
)

// Table is a table of the capacity page.
type Table struct {
	// Name identifies the table in the page's markers.
	Name   string
	Header []string
	Rows   [][]string
}

// Markdown returns the table as Markdown.
func (t Table) Markdown() string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(t.Header)
	b.WriteString(strings.Repeat("| --- ", len(t.Header)) + "|\n")
	for _, row := range t.Rows {
		line(row)
	}
	return b.String()
}

// Tables returns all tables of the page.
func Tables(s *Slopes) []Table {
	return []Table{
		loadTable(),
		dutyTable(s, Today()),
		dutyTable(s, Planned()),
		dutyTable(s, Region()),
		quantityTable(s),
		churnTable(s),
		bottleneckTable(s, Planned()),
		bottleneckTable(s, Region()),
		slopeTable(s),
	}
}

func loadTable() Table {
	t := Table{Name: "load", Header: []string{"quantity", "today", "planned", "region"}}
	add := func(name string, get func(Fleet) float64) {
		t.Rows = append(t.Rows, []string{name, formatNumber(get(Today())), formatNumber(get(Planned())), formatNumber(get(Region()))})
	}
	add("daemons", func(f Fleet) float64 { return f.Daemons })
	add("availability zones", func(f Fleet) float64 { return f.Zones })
	add("upstreams", func(f Fleet) float64 { return f.Upstreams })
	add("customers (assumed)", func(f Fleet) float64 { return f.Customers })
	add("customers active at one daemon (if all are equal)", Fleet.ActiveCustomers)
	add("configuration files (assumed)", func(f Fleet) float64 { return f.Files })
	add("queries/s, one daemon", Fleet.QueriesPerDaemon)
	add("upstream requests/s, one daemon", Fleet.AttemptsPerDaemon)
	add("configuration changes/s", Fleet.ConfigChangesPerSecond)
	add("VM list changes/s", Fleet.ListChangesPerSecond)
	return t
}

func dutyTable(s *Slopes, f Fleet) Table {
	t := Table{Name: "duties-" + f.Name, Header: []string{"duty", "messages/s", "sent", "of a core", "memory", "mechanism"}}
	m := NewModel(s, f)
	for _, d := range append(m.Duties(), m.Control(), m.Witness(), m.Reader()) {
		name := d.Name
		if d.Traffic {
			name += " (traffic)"
		}
		t.Rows = append(t.Rows, []string{
			name, formatNumber(d.MessagesPerSecond), UnitBytesPerSecond.format(d.BytesPerSecond), UnitCore.format(d.Cores), UnitBytes.format(d.MemoryBytes), d.Mechanism,
		})
	}
	return t
}

func quantityTable(s *Slopes) Table {
	t := Table{Name: "quantities", Header: []string{"quantity", "today", "planned", "region"}}
	add := func(name string, get func(m *Model) string) {
		t.Rows = append(t.Rows, []string{
			name, get(NewModel(s, Today())), get(NewModel(s, Planned())), get(NewModel(s, Region())),
		})
	}
	at := func(id string) func(m *Model) string {
		return func(m *Model) string { return formatNumber(m.slopes.at(id, m.fleet.Daemons)) }
	}
	add("reads of the platform/s, all daemons", at("reads"))
	add("reads in the worst second when all start", at("reads-start"))
	add("milliseconds until a change is active on every daemon", at("change-ms"))
	add("the same with 1 in 20 messages lost and 1 in 20 daemons dead", at("change-ms-faulty"))
	add("milliseconds until a VM list is on every daemon", at("list-ms"))
	add("messages of the busiest daemon for a change", at("spread-busiest"))
	add("upstreams that a daemon holds", func(m *Model) string { return formatNumber(m.slopes.at("upstreams-held", m.equivalentUpstreams())) })
	add("connections of a daemon", func(m *Model) string { return formatNumber(m.slopes.at("connections", m.equivalentUpstreams())) })
	add("the whole folder", func(m *Model) string { return UnitBytes.format(m.slopes.at("folder-memory", m.fleet.Upstreams)) })
	add("probes/s that the most probed daemon answers", func(m *Model) string { return formatNumber(m.mostProbedRate()) })
	add("entries/s of loans in the audit trail", func(m *Model) string { return formatNumber(m.loanAuditEntries()) })
	add("share requests/s of a daemon", func(m *Model) string { return formatNumber(m.shareRequests()) })
	add("% refused within the limit (of how many customers)", func(m *Model) string {
		points := m.slopes.byID[m.lendingPrefix()+"-refused"].Points
		last := points[len(points)-1]
		return fmt.Sprintf("%s (%s)", formatNumber(last.Y), formatNumber(last.X))
	})
	add("a whole VM list in an answer, gzip", func(m *Model) string { return UnitBytes.format(m.slopes.at("list-answered", m.fleet.Daemons)) })
	add("names in a request for files, without a known base", func(m *Model) string { return UnitBytes.format(m.slopes.at("files-whole-sent", m.fleet.Files)) })
	add("received by a reader from the platform", func(m *Model) string { return UnitBytesPerSecond.format(m.ReaderBytesPerSecond()) })
	return t
}

// churnTable lists the cost of one change and of a day's changes for one daemon.
func churnTable(s *Slopes) Table {
	t := Table{Name: "churn", Header: []string{"fleet", "change", "each: processor", "each: sent", "a day", "a day: processor", "a day: sent"}}
	for _, f := range []Fleet{Today(), Planned(), Region()} {
		m := NewModel(s, f)
		config, list := m.configChange(), m.listChange()
		t.Rows = append(t.Rows,
			churnRow(f, "configuration", config, m.acceptNanos(), f.ConfigChangesPerDay),
			churnRow(f, "VM list", list, m.adoptNanos(), f.RestartsPerDay*f.ListChangesPerRestart))
	}
	return t
}

func churnRow(f Fleet, what string, c callCost, nanos, perDay float64) []string {
	each := (c.cpuNanos + nanos) / nanosPerSecond
	return []string{
		f.Name, what, UnitSeconds.format(each), UnitBytes.format(c.bytes), formatNumber(perDay),
		UnitSeconds.format(each * perDay), UnitBytes.format(c.bytes * perDay),
	}
}

func bottleneckTable(s *Slopes, f Fleet) Table {
	t := Table{Name: "bottlenecks-" + f.Name, Header: []string{"what", "value", "target", "times the target", "mechanism"}}
	for _, b := range NewModel(s, f).Bottlenecks() {
		t.Rows = append(t.Rows, []string{
			b.Name, b.Unit.format(b.Value), b.Unit.format(b.Target), fmt.Sprintf("%.2f", b.Ratio()), b.Mechanism,
		})
	}
	return t
}

func slopeTable(s *Slopes) Table {
	t := Table{Name: "slopes", Header: []string{"slope", "by", "measured (size: value)", "base", "per unit", "benchmark", "mechanism"}}
	for _, slope := range s.All {
		var points []string
		for _, p := range slope.Points {
			if slope.Param == "" {
				points = append(points, formatNumber(p.Y))
				continue
			}
			points = append(points, formatNumber(p.X)+": "+formatNumber(p.Y))
		}
		t.Rows = append(t.Rows, []string{
			slope.ID + ", " + slope.Unit, slope.Param, strings.Join(points, "; "),
			formatNumber(slope.Line.Base), formatNumber(slope.Line.PerUnit), slope.Package + " " + slope.Benchmark, slope.Mechanism,
		})
	}
	return t
}

// formatNumber formats a number with three significant digits, or without decimals
// from 100 on. Numbers below 0.0001 get an exponent.
func formatNumber(x float64) string {
	if x == 0 {
		return "0"
	}
	const whole = 100
	if x >= whole || x <= -whole {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return strconv.FormatFloat(x, 'g', 3, 64)
}

func (u Unit) format(x float64) string {
	switch u {
	case UnitCore:
		const percent = 100
		return formatNumber(x*percent) + "%"
	case UnitBytes, UnitBytesPerSecond:
		return formatBytes(x) + map[Unit]string{UnitBytesPerSecond: "/s"}[u]
	case UnitSeconds:
		if x > 0 && x < 1 {
			return formatNumber(x*1000) + " ms"
		}
		return formatNumber(x) + " s"
	}
	return formatNumber(x)
}

func formatBytes(x float64) string {
	switch {
	case x >= 1<<20:
		return formatNumber(x/(1<<20)) + " MiB"
	case x >= 1<<10:
		return formatNumber(x/(1<<10)) + " KiB"
	}
	return formatNumber(x) + " B"
}

// Insert replaces the tables in a page. Each table is between the markers
// "<!-- table NAME -->" and "<!-- end -->", on lines of their own.
func Insert(page string, tables []Table) (string, error) {
	const end = "<!-- end -->"
	for _, t := range tables {
		begin := "<!-- table " + t.Name + " -->\n"
		before, rest, ok := strings.Cut(page, begin)
		if !ok {
			return "", &MissingMarkerError{Name: t.Name}
		}
		_, after, ok := strings.Cut(rest, end)
		if !ok {
			return "", &MissingMarkerError{Name: t.Name}
		}
		page = before + begin + "\n" + t.Markdown() + "\n" + end + after
	}
	return page, nil
}

// MissingMarkerError reports a page without the markers of a table.
type MissingMarkerError struct{ Name string }

// Error implements error.
func (e *MissingMarkerError) Error() string { return "the page has no markers for the table " + e.Name }
