package catalog

import (
	"fmt"
	"strconv"
	"strings"
)

// reader decodes the JSON tree of one file into typed values and collects all
// problems.
type reader struct {
	file     string
	problems []Problem
}

func (r *reader) addProblem(field, message string) {
	r.problems = append(r.problems, Problem{File: r.file, Field: field, Message: message})
}

// field is one permitted member of an object.
type field struct {
	name string
	read func(n *node, path string)
}

func (r *reader) expectKind(n *node, want kind, path string) bool {
	if n.kind == want {
		return true
	}
	r.addProblem(path, fmt.Sprintf("must be %v, not %v", want, n.kind))
	return false
}

// object reads the permitted members of n and reports unknown ones.
func (r *reader) object(n *node, path string, fields []field) {
	r.eachMember(n, path, func(name string, value *node, path string) {
		for _, f := range fields {
			if f.name == name {
				f.read(value, path)
				return
			}
		}
		r.addProblem(path, "unknown field; allowed are "+fieldNames(fields))
	})
}

// eachMember calls f for each member of n and reports duplicate names, of which
// only the first is passed to f.
func (r *reader) eachMember(n *node, path string, f func(name string, value *node, path string)) {
	if !r.expectKind(n, kindObject, path) {
		return
	}
	for _, m := range n.members {
		child := joinPath(path, m.name)
		if m.duplicate {
			r.addProblem(child, "given more than once in this file")
			continue
		}
		f(m.name, m.value, child)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

func (r *reader) eachItem(n *node, path string, f func(item *node, path string)) {
	if !r.expectKind(n, kindArray, path) {
		return
	}
	for i, item := range n.items {
		f(item, path+"["+strconv.Itoa(i)+"]")
	}
}

func (r *reader) bool(into *bool) func(*node, string) {
	return func(n *node, path string) {
		if r.expectKind(n, kindBool, path) {
			*into = n.boolean
		}
	}
}

func (r *reader) boolPtr(into **bool) func(*node, string) {
	return func(n *node, path string) {
		if r.expectKind(n, kindBool, path) {
			*into = &n.boolean
		}
	}
}

func (r *reader) string(into *string) func(*node, string) {
	return func(n *node, path string) {
		if r.expectKind(n, kindString, path) {
			*into = n.text
		}
	}
}

func (r *reader) strings(into *[]string) func(*node, string) {
	return func(n *node, path string) {
		*into = make([]string, 0, len(n.items))
		r.eachItem(n, path, func(item *node, path string) {
			var s string
			r.string(&s)(item, path)
			*into = append(*into, s)
		})
	}
}

func (r *reader) float(into **float64) func(*node, string) {
	return func(n *node, path string) {
		if !r.expectKind(n, kindNumber, path) {
			return
		}
		v, err := strconv.ParseFloat(n.text, 64)
		if err != nil {
			r.addProblem(path, "the number is too large")
			return
		}
		*into = &v
	}
}

func (r *reader) int(into **int) func(*node, string) {
	return func(n *node, path string) {
		if !r.expectKind(n, kindNumber, path) {
			return
		}
		v, err := strconv.Atoi(n.text)
		if err != nil {
			r.addProblem(path, "must be a whole number")
			return
		}
		*into = &v
	}
}
