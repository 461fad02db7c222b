package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/gateway"
	"ryecourse.example/ryecourse/internal/gatewaydaemon"
)

func routeCommand() *cli.Command {
	return &cli.Command{
		Name:  "route",
		Usage: "show where a running gateway would send a request now, and why, without sending it",
		Description: "Asks the gateway's operators' listener. Nothing is sent to an upstream, and no token,\n" +
			"extra attempt or turn is used. A key is read from a file, as arguments are visible to\n" +
			"other users of the machine, and never printed.\n\n" +
			"Exit codes: 0 it would be served; 4 it would be refused; 1 the gateway can't say (chance or\n" +
			"another VM decides) or doesn't respond; 2 the command line is wrong.\n\n" +
			"Example:\n   ryecourse route --operator 10.1.0.17:9464 --host hufi27.example --uri /goka902/2f --customer miny420",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "operator", Usage: "the `ADDRESS` of the gateway's operators' listener", Value: "127.0.0.1:9464"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON for programs"},
			&cli.StringFlag{Name: "host", Usage: "the request's `HOST`", Required: true},
			&cli.StringFlag{Name: "uri", Usage: "the request's `PATH` and query", Required: true},
			&cli.StringFlag{Name: "method", Usage: "the request's `METHOD`", Value: "GET"},
			&cli.StringFlag{Name: "customer", Usage: "the `NAME` of the customer that sends it"},
			&cli.StringFlag{Name: "key-file", Usage: "a `FILE` with the customer's key; - is standard input"},
			&cli.IntFlag{Name: "priority", Usage: "the `RANK` to assume in place of the configured one; 0 is the most urgent"},
			&cli.FloatFlag{Name: "timeout-ms", Usage: "how long the caller would wait, in `MILLISECONDS`"},
		},
		Action: explainRoute,
	}
}

func explainRoute(_ context.Context, cmd *cli.Command) error {
	q := gateway.Question{
		Host: cmd.String("host"), URI: cmd.String("uri"), Method: cmd.String("method"), Customer: cmd.String("customer"),
		TimeoutMs: cmd.Float("timeout-ms"),
	}
	if cmd.IsSet("priority") {
		p := cmd.Int("priority")
		q.Priority = &p
	}
	if name := cmd.String("key-file"); name != "" {
		key, err := readKey(name)
		if err != nil {
			return cli.Exit(err.Error(), ExitError)
		}
		q.Key = key
	}
	body, err := askRoute(cmd.String("operator"), q)
	if err != nil {
		return cli.Exit(err.Error(), ExitError)
	}
	var e gatewaydaemon.RouteExplanation
	if err := json.Unmarshal(body, &e); err != nil {
		return cli.Exit(fmt.Sprintf("can't parse the response: %v", err), ExitError)
	}
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		_, err = out.Write(body)
	} else {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		printRoute(w, &e)
		err = w.Flush()
	}
	if err != nil {
		return cli.Exit(err.Error(), ExitError)
	}
	switch e.Verdict {
	case gateway.WouldServe:
		return nil
	case gateway.WouldRefuse:
		return cli.Exit("the request would be refused: "+string(e.Reason), ExitRefused)
	}
	return cli.Exit("the gateway can't say whether the request would be served", ExitError)
}

// maxKeyBytes limits what is read of a file with a key.
const maxKeyBytes = 4096

func readKey(name string) (string, error) {
	f := os.Stdin
	if name != "-" {
		var err error
		if f, err = os.Open(name); err != nil {
			return "", err
		}
		defer f.Close()
	}
	key, err := io.ReadAll(io.LimitReader(f, maxKeyBytes))
	return strings.TrimSpace(string(key)), err
}

// askRoute sends a question to a gateway's operators' listener. Its errors don't quote the
// question.
func askRoute(operator string, q gateway.Question) ([]byte, error) {
	question, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + operator + gatewaydaemon.RoutePath)
	req.SetBody(question)
	if err := fasthttp.DoTimeout(req, resp, requestTimeout); err != nil {
		return nil, fmt.Errorf("no response from %s: %w", operator, err)
	}
	body := append([]byte(nil), resp.Body()...)
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("%s returned status %d: %s", operator, resp.StatusCode(), body)
	}
	return body, nil
}

func printRoute(w io.Writer, e *gatewaydaemon.RouteExplanation) {
	fmt.Fprintf(w, "verdict\t%s\n", sanitizeCell(string(e.Verdict)))
	if e.Status != 0 {
		fmt.Fprintf(w, "refusal\t%d %s", e.Status, sanitizeCell(string(e.Reason)))
		if e.RetryAfterMs > 0 {
			fmt.Fprintf(w, ", retry after %s", millis(e.RetryAfterMs))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "vm\t%s, zone %s\n", sanitizeCell(e.VM), sanitizeCell(e.Zone))
	fmt.Fprintf(w, "configuration\tversion %d, confirmed %s ago\n", e.ConfigVersion, millis(e.ConfigAgeMs))
	if r := e.Route; r != nil {
		fmt.Fprintf(w, "route\t%s, prefix %s, idempotent: %s, attempts %d, timeout %s, objective %s, priority %d\n", sanitizeCell(r.Name),
			sanitizeCell(r.Prefix), yesNo(r.Idempotent), r.Attempts, millis(r.TimeoutMs), millis(r.ObjectiveMs), e.Priority)
	}
	if c := e.Customer; c != nil {
		fmt.Fprintf(w, "customer\t%s, rate %.1f/s, burst %.0f, left here: %.1f of the pool, %.1f of its own; admitted: %s\n",
			sanitizeCell(c.Name), c.PerSecond, c.Burst, c.PoolLeft, c.OwnLeft, yesNo(c.Admits))
	}
	if a := e.Admission; a != nil {
		fmt.Fprintf(w, "admission\trejects %.0f%% now; load %.2f of %s, %s old\n", a.RejectedFraction*100, a.Load, sanitizeCell(a.Service), millis(a.AgeMs))
	}
	if e.Route != nil {
		fmt.Fprintf(w, "links\tupstreams %s, this VM runs %.0f%% of its requests itself\n", sanitizeCell(e.RunsOn.Reachability), e.RunsOn.Here*100)
	}
	if len(e.RunsOn.Helpers) > 0 {
		fmt.Fprintf(w, "helpers\t%s\n", sanitizeCell(strings.Join(e.RunsOn.Helpers, ", ")))
	}
	if len(e.RunsOn.Executors) > 0 {
		fmt.Fprintf(w, "executors\t%s\n", sanitizeCell(strings.Join(e.RunsOn.Executors, ", ")))
	}
	if len(e.Services) == 0 {
		return
	}
	fmt.Fprintln(w, "\nSERVICE\tUPSTREAM\tZONE\tSCORE\tSLOWNESS\tPENALTY\tIN FLIGHT\tLOAD\tAGE\tSTATE")
	for _, s := range e.Services {
		for _, c := range s.Candidates {
			fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%d/%d\t%s\t%s\n", sanitizeCell(s.Service), sanitizeCell(c.Instance),
				sanitizeCell(c.Zone), c.Score, c.Slowness, c.Penalty, c.InFlight, c.Slots, candidateLoad(c), candidateState(c))
		}
		if len(s.Candidates) == 0 {
			fmt.Fprintf(w, "%s\tnone announced\n", sanitizeCell(s.Service))
		}
	}
}

// candidateLoad returns the cells for the reported load and its age.
func candidateLoad(c gateway.CandidateExplained) string {
	if c.LoadAgeMs < 0 {
		return "-\t-"
	}
	text := fmt.Sprintf("%.2f\t%s", c.Load, millis(c.LoadAgeMs))
	if !c.LoadUsed {
		text += " (too old)"
	}
	return text
}

func candidateState(c gateway.CandidateExplained) string {
	state := []string{}
	if c.Excluded != "" {
		state = append(state, sanitizeCell(string(c.Excluded)))
	}
	if c.OpensInMs > 0 {
		state = append(state, "opens in "+millis(c.OpensInMs))
	}
	for _, flag := range []struct {
		set  bool
		text string
	}{{c.Cold, "warming up"}, {c.Avoided, "avoided"}, {c.Overdue, "overdue"}} {
		if flag.set {
			state = append(state, flag.text)
		}
	}
	if c.AdmittedFraction < 1 {
		state = append(state, fmt.Sprintf("limit admits %.0f%%", c.AdmittedFraction*100))
	}
	if len(state) == 0 {
		return "usable"
	}
	return strings.Join(state, ", ")
}

func millis(ms float64) string { return fmt.Sprintf("%.0f ms", ms) }
