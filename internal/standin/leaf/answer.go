package leaf

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// queryMember is the member of a caller's body that an answer depends on.
var queryMember = []byte(`"query"`)

// ExtractQuery returns the part of a request's body that the answer depends on: the
// member "query" where there is one, else all of the body.
func ExtractQuery(body []byte) []byte {
	if !bytes.Contains(body, queryMember) {
		return body
	}
	var doc struct {
		Query json.RawMessage `json:"query"`
	}
	if json.Unmarshal(body, &doc) != nil || doc.Query == nil {
		return body
	}
	return doc.Query
}

// QueryDigest identifies a query without its white space outside of strings.
func QueryDigest(query []byte) uint64 {
	if bytes.ContainsAny(query, " \n\r\t") {
		var compact bytes.Buffer
		if json.Compact(&compact, query) == nil {
			return xxhash.Sum64(compact.Bytes())
		}
	}
	return xxhash.Sum64(query)
}

// AppendAnswer appends the one right body for a query to a shard under a
// snapshot. It is deterministic, so that a checker can compute it too.
func AppendAnswer(dst []byte, service string, shard int, snapshot string, digest uint64, size int) []byte {
	start := len(dst)
	dst = append(dst, `{"service":"`...)
	dst = append(dst, service...)
	dst = append(dst, `","shard":`...)
	dst = strconv.AppendInt(dst, int64(shard), 10)
	dst = append(dst, `,"snapshot":"`...)
	dst = append(dst, snapshot...)
	dst = append(dst, `","hits":["`...)
	content := contentSeed(service, shard, snapshot, digest)
	dst = strconv.AppendUint(dst, content, 36)
	for i := uint64(1); len(dst)-start < size-2; i++ {
		dst = append(dst, `","`...)
		dst = strconv.AppendUint(dst, content+i, 36)
	}
	return append(dst, `"]}`...)
}

func contentSeed(service string, shard int, snapshot string, digest uint64) uint64 {
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], digest)
	binary.LittleEndian.PutUint64(numbers[8:], uint64(shard))
	var h xxhash.Digest
	h.Reset()
	h.Write(numbers[:])
	h.WriteString(service)
	h.WriteString("/")
	h.WriteString(snapshot)
	return h.Sum64()
}
