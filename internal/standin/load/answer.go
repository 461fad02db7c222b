package load

import (
	"fmt"

	"ryecourse.example/ryecourse/internal/standin/leaf"
)

// checkAnswer checks an answer without the upstreams' logs: its verdict, its
// coverage, and that each result has the expected body for the query, the shard
// and the snapshot. It returns the first mismatch, or an empty string.
func (req *Request) checkAnswer() string {
	a := &req.Answer
	if a.Verdict != verdictRan {
		return "answer with the verdict " + a.Verdict
	}
	if wrong := req.checkCoverage(); wrong != "" {
		return wrong
	}
	for _, r := range a.Results {
		want := leaf.AppendAnswer(nil, req.Service.Name, r.Shard, a.Snapshot, req.Digest, req.Service.AnswerBytes)
		if string(r.Body) != string(want) {
			return fmt.Sprintf("shard %d under %q: body %.200s, want %.200s", r.Shard, a.Snapshot, r.Body, want)
		}
	}
	return ""
}

// checkCoverage compares the coverage with the results.
func (req *Request) checkCoverage() string {
	a := &req.Answer
	total := req.Service.Shards
	if req.Service.SingleShard {
		total = 1
	}
	if a.Coverage.Total != total {
		return fmt.Sprintf("coverage of %d shards, want %d", a.Coverage.Total, total)
	}
	if a.Coverage.Answered != len(a.Results) {
		return fmt.Sprintf("coverage counts %d answered shards, the answer has %d results", a.Coverage.Answered, len(a.Results))
	}
	if len(a.Results)+len(a.Coverage.Missing) != total {
		return fmt.Sprintf("%d of %d results, missing shards %v", len(a.Results), total, a.Coverage.Missing)
	}
	if float64(len(a.Results)) < req.Service.minCoverage()*float64(total) {
		return fmt.Sprintf("%d of %d results are below the minimum coverage", len(a.Results), total)
	}
	return req.checkShards()
}

// checkShards checks that each shard is listed at most once, as answered or as
// missing.
func (req *Request) checkShards() string {
	shards := append([]int(nil), req.Answer.Coverage.Missing...)
	for _, r := range req.Answer.Results {
		shards = append(shards, r.Shard)
	}
	seen := make(map[int]bool)
	for _, shard := range shards {
		if shard < 0 || shard >= req.Service.Shards || seen[shard] {
			return fmt.Sprintf("shard %d is unknown or listed twice", shard)
		}
		seen[shard] = true
	}
	return ""
}
