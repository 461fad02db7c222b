package leaf

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// queryMember is the name of the JSON field of a request body that determines
// the answer.
var queryMember = []byte(`"query"`)

// ExtractQuery returns the part of a request body that determines the answer: the
// JSON field "query" if there is one, else the whole body.
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

// QueryDigest returns a hash of a query that ignores white space outside of
// JSON strings.
func QueryDigest(query []byte) uint64 {
	if bytes.ContainsAny(query, " \n\r\t") {
		var compact bytes.Buffer
		if json.Compact(&compact, query) == nil {
			return xxhash.Sum64(compact.Bytes())
		}
	}
	return xxhash.Sum64(query)
}

// AppendAnswer appends the only correct response body for a query to a shard
// with a snapshot, of at least size bytes. It is deterministic, so that a checker
// can compute it too.
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
