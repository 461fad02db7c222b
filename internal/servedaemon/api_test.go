package servedaemon

import (
	"encoding/json"
	"maps"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const apiPage = "../../docs/API.md"

// curlCommand is one curl command of the page.
type curlCommand struct {
	method, url, body string
	header            []string
}

var shellWord = regexp.MustCompile(`'([^']*)'|"([^"]*)"|(\S+)`)

// curlLines extracts the curl commands of a page.
func curlLines(t *testing.T, page string) []curlCommand {
	t.Helper()
	content, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var out []curlCommand
	for _, line := range strings.Split(strings.ReplaceAll(string(content), "\\\n", " "), "\n") {
		if strings.HasPrefix(line, "    curl ") {
			out = append(out, parseCurl(t, line))
		}
	}
	return out
}

func parseCurl(t *testing.T, line string) curlCommand {
	t.Helper()
	c := curlCommand{method: fasthttp.MethodGet}
	var words []string
	for _, m := range shellWord.FindAllStringSubmatch(line, -1) {
		words = append(words, m[1]+m[2]+m[3])
	}
	for i := 1; i < len(words); i++ {
		switch words[i] {
		case "-s":
		case "-H":
			i++
			c.header = append(c.header, words[i])
		case "-d":
			i++
			c.method, c.body = fasthttp.MethodPost, words[i]
		default:
			if strings.HasPrefix(words[i], "-") || c.url != "" {
				t.Fatalf("%q: unsupported argument %q", line, words[i])
			}
			c.url = words[i]
		}
	}
	return c
}

// do runs the command against a daemon under test instead of the addresses on the
// page.
func (c curlCommand) do(n *testDaemon) (int, []byte) {
	n.env.t.Helper()
	ports := strings.NewReplacer("127.0.0.1:7101", n.caller, "127.0.0.1:7301", n.operator, "$KEY", testKey)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(ports.Replace(c.url))
	req.Header.SetMethod(c.method)
	req.SetBodyString(c.body)
	for _, h := range c.header {
		name, value, _ := strings.Cut(ports.Replace(h), ": ")
		req.Header.Set(name, value)
	}
	n.env.must(fasthttp.DoTimeout(req, resp, waitTimeout))
	return resp.StatusCode(), slices.Clone(resp.Body())
}

// jsonBlocks returns the JSON documents that the page shows.
func jsonBlocks(t *testing.T, page string) []map[string]any {
	t.Helper()
	content, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var out []map[string]any
	for _, block := range strings.Split(string(content), "\n\n") {
		var doc map[string]any
		if strings.HasPrefix(block, "    {") && json.Unmarshal([]byte(block), &doc) == nil {
			out = append(out, doc)
		}
	}
	return out
}

func checkFields(t *testing.T, what string, got []byte, want map[string]any) {
	t.Helper()
	var doc map[string]any
	if err := json.Unmarshal(got, &doc); err != nil {
		t.Fatalf("%s: %v: %s", what, err, got)
	}
	a, b := slices.Sorted(maps.Keys(doc)), slices.Sorted(maps.Keys(want))
	if !slices.Equal(a, b) {
		t.Errorf("%s has the fields %v, the page shows %v", what, a, b)
	}
}

// checkAPIPage runs the commands of the page against a ready daemon and compares the
// fields of the responses with the documents that it shows.
func checkAPIPage(t *testing.T, n *testDaemon) {
	commands, blocks := curlLines(t, apiPage), jsonBlocks(t, apiPage)
	if len(commands) != 6 || len(blocks) != 2 {
		t.Fatalf("the page shows %d commands and %d documents", len(commands), len(blocks))
	}
	for _, c := range commands {
		status, body := c.do(n)
		if status != http.StatusOK {
			t.Errorf("%s %s: %d %s", c.method, c.url, status, body)
		}
		if c.method == fasthttp.MethodPost {
			checkFields(t, "the answer", body, blocks[0])
		}
	}
	status, body := n.query("rye_unknown", anyQuery)
	if status != http.StatusUnauthorized {
		t.Errorf("an unknown key: %d %s", status, body)
	}
	delete(blocks[1], "retry_after_ms") // present only if a retry can succeed
	checkFields(t, "the refusal", body, blocks[1])
}

// checkNoKeys sends the key in every part of a request where a caller may put it,
// and searches the log, the operator pages and the upstreams' requests for it.
func checkNoKeys(t *testing.T, n *testDaemon) {
	base := "http://" + n.caller + "/v1/services/proof-studio/query"
	bearer := "Authorization: Bearer " + testKey
	body := `{"query":"` + testKey + `"}`
	for _, c := range []curlCommand{
		{fasthttp.MethodPost, base, anyQuery, []string{bearer}},
		{fasthttp.MethodPost, base, anyQuery, []string{"X-Api-Key: " + testKey}},
		{fasthttp.MethodPost, base, body, []string{bearer}},
		{fasthttp.MethodPost, base, body, nil},
		{fasthttp.MethodPost, base + "?key=" + testKey, anyQuery, []string{bearer}},
		{fasthttp.MethodPost, "http://" + n.caller + "/v1/services/" + testKey + "/query", anyQuery, nil},
		{fasthttp.MethodPost, base, anyQuery, []string{bearer, "Traceparent: " + testKey, "Cookie: " + testKey}},
		{fasthttp.MethodGet, "http://" + n.operator + "/status?key=" + testKey, "", []string{bearer}},
		{fasthttp.MethodGet, "http://" + n.operator + "/" + testKey, "", []string{bearer}},
		{fasthttp.MethodGet, "http://" + n.peer + "/" + testKey, "", []string{bearer}},
	} {
		c.do(n)
	}
	places := map[string]string{"log": n.logOutput.String()}
	for _, path := range []string{"/status", "/audit", "/metrics"} {
		_, b := n.get(path)
		places[path] = string(b)
	}
	for place, content := range places {
		if content == "" || strings.Contains(content, testKey) {
			t.Errorf("%s is empty or contains the key: %d bytes", place, len(content))
		}
	}
	for _, l := range n.env.leaves {
		if seen := l.Status(time.Now()).Counters.SecretsSeen; seen > 0 {
			t.Errorf("%s received the key %d times", l.ID(), seen)
		}
	}
}
