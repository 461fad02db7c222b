package catalog

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

const nameRule = "a name must be at most 64 letters, digits, '.', '_' or '-' and start with a letter or digit"

var (
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	fileNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,122}\.json$`)
	hashPattern     = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// structValidator validates the fields of one object by their validate tags. It
// is safe for concurrent use.
var structValidator = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	registerTag(v, "name", namePattern.MatchString)
	registerTag(v, "key_hash", hashPattern.MatchString)
	registerTag(v, "ip_port", isIPPort)
	return v
}

func registerTag(v *validator.Validate, tag string, ok func(string) bool) {
	check := func(fl validator.FieldLevel) bool { return ok(fl.Field().String()) }
	if err := v.RegisterValidation(tag, check); err != nil {
		panic(err) // The tags are constants of this file.
	}
}

func isIPPort(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

// parseAddress returns s in a form in which equal addresses compare equal,
// independent of their spelling. It returns the zero value if s isn't an address.
func parseAddress(s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// validate reports every invalid value of spec, unless the value or an object or
// array that contains it is already reported.
func (r *reader) validate(spec any, path string, reported []Problem) {
	err := structValidator.Struct(spec)
	if err == nil {
		return
	}
	for _, fe := range err.(validator.ValidationErrors) {
		_, fieldPath, _ := strings.Cut(fe.Namespace(), ".")
		fullPath := joinPath(path, fieldPath)
		if !alreadyReported(reported, fullPath) {
			r.addProblem(fullPath, rangeMessage(fe))
		}
	}
}

func alreadyReported(reported []Problem, path string) bool {
	for _, p := range reported {
		rest, ok := strings.CutPrefix(path, p.Field)
		if ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

func rangeMessage(fe validator.FieldError) string {
	switch fe.Tag() {
	case "required", "required_with":
		return "is missing"
	case "gt":
		return "must be greater than " + fe.Param()
	case "gte":
		return "must be at least " + fe.Param()
	case "lte":
		return "must be at most " + fe.Param()
	case "min":
		return fmt.Sprintf("must have at least %s entry", fe.Param())
	case "max":
		return fmt.Sprintf("must have at most %s entries", fe.Param())
	case "unique":
		return "lists an entry twice"
	case "name":
		return nameRule
	case "key_hash":
		return "must be a SHA-256 digest of 64 lower-case hexadecimal digits, as `ryecourse key new` prints it"
	case "ip_port":
		return "must be an IP address and port, such as 127.0.0.1:8080"
	}
	return "is not valid (" + fe.Tag() + ")"
}
