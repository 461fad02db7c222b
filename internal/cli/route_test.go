package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ryecourse.example/ryecourse/internal/gateway"
	"ryecourse.example/ryecourse/internal/gatewaydaemon"
)

// TestRouteExitCodesAndOutput checks that the exit code follows the verdict, and that a key
// is sent and never printed.
func TestRouteExitCodesAndOutput(t *testing.T) {
	const key = "secret-key"
	keyFile := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(keyFile, []byte(key+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		verdict gateway.Verdict
		reason  gateway.Reason
		code    int
	}{
		{gateway.WouldServe, "", ExitOK},
		{gateway.WouldRefuse, gateway.ReasonNoUpstream, ExitRefused},
		{gateway.Unknown, "", ExitError},
		{"", "", ExitError}, // no response
	} {
		var asked gateway.Question
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
				t.Error(err)
			}
			if c.verdict == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			e := gatewaydaemon.RouteExplanation{VM: "gate-1"}
			e.Verdict, e.Reason = c.verdict, c.reason
			e.Services = []gateway.ServiceExplained{{Service: "s", Candidates: []gateway.CandidateExplained{{Instance: "i-1", Excluded: "draining", LoadAgeMs: -1, AdmittedFraction: 1}}}}
			json.NewEncoder(w).Encode(e)
		}))
		for _, format := range []string{"", "--json"} {
			args := []string{"ryecourse", "route", "--operator", strings.TrimPrefix(srv.URL, "http://"), "--host", "h", "--uri", "/a/b", "--key-file", keyFile, "--priority", "0"}
			if format != "" {
				args = append(args, format)
			}
			var out, errOut bytes.Buffer
			if code := Run(context.Background(), args, &out, &errOut); code != c.code {
				t.Errorf("verdict %q: exit code %d, want %d: %s", c.verdict, code, c.code, errOut.String())
			}
			if asked.Key != key || asked.Priority == nil || *asked.Priority != 0 {
				t.Errorf("the question is %+v", asked)
			}
			if strings.Contains(out.String()+errOut.String(), key) {
				t.Errorf("the key is printed:\n%s%s", out.String(), errOut.String())
			}
			if c.verdict != "" && (!strings.Contains(out.String(), "draining") || json.Valid(out.Bytes()) != (format != "")) {
				t.Errorf("the output is:\n%s", out.String())
			}
		}
		srv.Close()
	}
	var out, errOut bytes.Buffer
	if code := Run(context.Background(), []string{"ryecourse", "route", "--host", "h"}, &out, &errOut); code != ExitUsage {
		t.Errorf("exit code without a URI is %d", code)
	}
}
