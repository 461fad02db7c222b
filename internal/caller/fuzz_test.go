package caller

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzBody parses arbitrary bytes as a request body. An accepted body must
// contain a query that is valid JSON, a coverage from 0 to 1 and a deadline
// within the service's limit.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"query":{"a":1},"min_coverage":0.5,"deadline_ms":20,"routing_key":"k"}`))
	f.Add([]byte(`{"query":1}{}`))
	f.Add([]byte(`{"query":null,"deadline_ms":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		q, refusal := parseBody(body)
		if refusal != nil {
			return
		}
		const limit = 200 * time.Millisecond
		if d := q.deadline(limit); d <= 0 || d > limit {
			t.Fatalf("deadline %s", d)
		}
		if c := q.coverage(); !(c >= 0 && c <= 1) {
			t.Fatalf("coverage %g", c)
		}
		if !json.Valid(q.Query) {
			t.Fatalf("query %q", q.Query)
		}
	})
}
