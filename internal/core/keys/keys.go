// Package keys creates, hashes and detects the API keys of customers. `ryecourse
// serve` and `ryecourse key` use it.
//
// A key is a bearer secret. Only its hash is stored, compared or shown. The
// package has no I/O and no state; its functions are safe for concurrent use.
package keys

import (
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
)

const (
	// Prefix starts every key, so that a leaked key is easy to detect.
	Prefix = "rye_"
	// Length is the length of a key in bytes.
	Length = len(Prefix) + secretLength
	// HashLength is the length of a hash in hexadecimal digits.
	HashLength = 2 * sha256.Size

	secretBytes  = 32 // 256 bits: hashes need no salt or stretching.
	secretLength = 52 // secretBytes in base32 without padding
	alphabet     = "abcdefghijklmnopqrstuvwxyz234567"
)

var secretEncoding = base32.NewEncoding(alphabet).WithPadding(base32.NoPadding)

// RandomError reports that the source of randomness failed.
type RandomError struct {
	Err error
}

func (e *RandomError) Error() string { return fmt.Sprintf("no randomness for a key: %v", e.Err) }

// Unwrap returns the cause.
func (e *RandomError) Unwrap() error { return e.Err }

// New returns a new key made of 256 bits of random, which must be a
// cryptographic source. The error is a *RandomError.
func New(random io.Reader) (string, error) {
	var secret [secretBytes]byte
	if _, err := io.ReadFull(random, secret[:]); err != nil {
		return "", &RandomError{Err: err}
	}
	return Prefix + secretEncoding.EncodeToString(secret[:]), nil
}

// Hash returns the hexadecimal SHA-256 digest of key, as stored in
// configuration files.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WellFormed reports whether key has the format of a key: its prefix, length
// and alphabet. It doesn't check whether the key is known.
func WellFormed(key string) bool {
	secret, ok := strings.CutPrefix(key, Prefix)
	if !ok || len(secret) != secretLength {
		return false
	}
	for i := range len(secret) {
		if !isSecretChar(secret[i]) {
			return false
		}
	}
	return true
}

func isSecretChar(c byte) bool {
	return 'a' <= c && c <= 'z' || '2' <= c && c <= '7'
}
