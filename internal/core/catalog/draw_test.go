package catalog

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"
)

// drawFolder draws up to six files that share a few object names, so that
// conflicts, unresolved references and invalid files are frequent.
func drawFolder(t *rapid.T) []File {
	n := rapid.IntRange(0, 6).Draw(t, "files")
	files := make([]File, n)
	for i := range files {
		files[i] = File{
			Name:     fmt.Sprintf("%02d.json", i),
			Revision: uint64(i + 1),
			Content:  []byte(drawContent(t)),
		}
	}
	return files
}

func drawContent(t *rapid.T) string {
	a := rapid.IntRange(0, 2).Draw(t, "a")
	b := rapid.IntRange(0, 2).Draw(t, "b")
	flag := rapid.Bool().Draw(t, "flag")
	hash := strings.Repeat(fmt.Sprint(b), 64)
	forms := []string{
		fmt.Sprintf(`{"customers":{"c%d":{"rate":%d,"burst":5,"services":["s%d"]}}}`, a, b+1, b),
		fmt.Sprintf(`{"customers":{"c%d":{"key_hashes":["%s"]}}}`, a, hash),
		fmt.Sprintf(`{"services":{"s%d":{"shards":[[{"id":"u%d","address":"127.0.0.1:%d","zone":"z%d"}]],"slots":2,"connections":%d,"deadline_ms":1.5}}}`, a, b, b+1, a, a+1),
		fmt.Sprintf(`{"zones":{"z%d":{"out":%v}}}`, a, flag),
		fmt.Sprintf(`{"zones":{"z%d":{}}}`, a),
		fmt.Sprintf(`{"upstreams":{"u%d":{"draining":%v}}}`, a, flag),
		fmt.Sprintf(`{"zones":{"z%d":{"out":%v`, a, flag),
		`{"customers":{"c0":{"rate":0,"burst":0}}}`,
	}
	return rapid.SampledFrom(forms).Draw(t, "form")
}
