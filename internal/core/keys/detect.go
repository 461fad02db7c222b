package keys

import (
	"bytes"
	"strconv"
)

const (
	// minSecretMatch is the number of characters after the prefix from which
	// text counts as a key. Half a key is detected too.
	minSecretMatch = secretLength / 2
	// minKeyMatch is the least length of the request's own key for which it is
	// searched. A shorter string isn't a key and would match ordinary text.
	minKeyMatch = 16
	// maxDecodings bounds how often repeatedly escaped text is decoded.
	maxDecodings = 3
)

// Carries reports whether data contains key, or anything with the format of a
// key. Data is a path, a query string, a header's value or a body. Letter case
// is ignored. Percent escapes (RFC 3986) and JSON escapes (RFC 8259) are
// decoded, also when text was escaped up to three times. Encodings that change
// every character, such as base64 or compression, are not decoded.
//
// It allocates only when data contains an escape or an upper-case letter.
func Carries(data []byte, key string) bool {
	raw := bytes.ToLower([]byte(key))
	if len(raw) < minKeyMatch {
		raw = nil
	}
	for range maxDecodings {
		if containsKey(data, raw) {
			return true
		}
		decoded := unescape(data)
		if len(decoded) == len(data) {
			return false
		}
		data = decoded
	}
	return containsKey(data, raw)
}

func containsKey(data, raw []byte) bool {
	lower := data
	if hasUpper(data) {
		lower = bytes.ToLower(data)
	}
	if raw != nil && bytes.Contains(lower, raw) {
		return true
	}
	return containsKeyShape(lower)
}

func hasUpper(data []byte) bool {
	for _, c := range data {
		if 'A' <= c && c <= 'Z' {
			return true
		}
	}
	return false
}

// containsKeyShape reports whether data contains the prefix followed by at
// least minSecretMatch characters of the alphabet.
func containsKeyShape(data []byte) bool {
	for {
		at := bytes.Index(data, []byte(Prefix))
		if at < 0 {
			return false
		}
		data = data[at+len(Prefix):]
		n := 0
		for n < len(data) && n < minSecretMatch && isSecretChar(data[n]) {
			n++
		}
		if n == minSecretMatch {
			return true
		}
	}
}

// unescape decodes %XX and \u00XX once. Text without either is returned
// unchanged. The result is shorter whenever anything was decoded.
func unescape(data []byte) []byte {
	if bytes.IndexByte(data, '%') < 0 && !bytes.Contains(data, []byte(`\u`)) {
		return data
	}
	out := make([]byte, 0, len(data))
	for i := 0; i < len(data); {
		c, n := decodeOne(data[i:])
		out = append(out, c)
		i += n
	}
	return out
}

// decodeOne returns the first character of data and the number of bytes that
// encode it.
func decodeOne(data []byte) (byte, int) {
	if data[0] == '%' && len(data) >= 3 {
		if c, ok := hexByte(data[1:3]); ok {
			return c, 3
		}
	}
	if len(data) >= 6 && data[0] == '\\' && data[1] == 'u' && data[2] == '0' && data[3] == '0' {
		if c, ok := hexByte(data[4:6]); ok {
			return c, 6
		}
	}
	return data[0], 1
}

func hexByte(digits []byte) (byte, bool) {
	v, err := strconv.ParseUint(string(digits), 16, 8)
	return byte(v), err == nil
}
