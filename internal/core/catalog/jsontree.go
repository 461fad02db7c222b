package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// maxDepth is the maximum nesting depth of a file. The format needs six levels.
const maxDepth = 8

type kind uint8

const (
	kindNull kind = iota
	kindBool
	kindNumber
	kindString
	kindArray
	kindObject
)

var kindNames = [...]string{"null", "a boolean", "a number", "a string", "an array", "an object"}

func (k kind) String() string { return kindNames[k] }

// node is one JSON value. Unlike a decoded map it preserves the order of members
// and records duplicate names.
type node struct {
	kind    kind
	boolean bool
	text    string // the string, or the literal text of the number
	items   []*node
	members []member
}

type member struct {
	name      string
	value     *node
	duplicate bool
}

// syntaxError reports content that is not one JSON value.
type syntaxError struct {
	Line    int
	Column  int
	Message string
}

func (e *syntaxError) Error() string {
	if e.Line == 0 {
		return e.Message
	}
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// parseTree parses content that consists of exactly one JSON value (RFC 8259).
func parseTree(content []byte) (*node, error) {
	if !utf8.Valid(content) {
		return nil, &syntaxError{Message: "the file is not valid UTF-8"}
	}
	var raw json.RawMessage
	if err := json.Unmarshal(content, &raw); err != nil {
		return nil, withPosition(content, err)
	}
	dec := json.NewDecoder(bytes.NewReader(content))
	dec.UseNumber()
	return readNode(dec, 0)
}

func withPosition(content []byte, err error) error {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return &syntaxError{Message: err.Error()}
	}
	end := min(int(syntax.Offset), len(content))
	before := content[:max(end-1, 0)]
	line := 1 + bytes.Count(before, []byte{'\n'})
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return &syntaxError{Line: line, Column: column, Message: syntax.Error()}
}

func readNode(dec *json.Decoder, depth int) (*node, error) {
	if depth > maxDepth {
		return nil, &syntaxError{Message: fmt.Sprintf("nested deeper than %d levels", maxDepth)}
	}
	token, err := dec.Token()
	if err != nil {
		return nil, err
	}
	switch t := token.(type) {
	case json.Delim:
		if t == '[' {
			return readArray(dec, depth)
		}
		return readObject(dec, depth)
	case bool:
		return &node{kind: kindBool, boolean: t}, nil
	case json.Number:
		return &node{kind: kindNumber, text: t.String()}, nil
	case string:
		return &node{kind: kindString, text: t}, nil
	}
	return &node{kind: kindNull}, nil
}

func readArray(dec *json.Decoder, depth int) (*node, error) {
	n := &node{kind: kindArray}
	for dec.More() {
		item, err := readNode(dec, depth+1)
		if err != nil {
			return nil, err
		}
		n.items = append(n.items, item)
	}
	_, err := dec.Token()
	return n, err
}

func readObject(dec *json.Decoder, depth int) (*node, error) {
	n := &node{kind: kindObject}
	seen := make(map[string]bool)
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return nil, err
		}
		name := token.(string)
		value, err := readNode(dec, depth+1)
		if err != nil {
			return nil, err
		}
		n.members = append(n.members, member{name: name, value: value, duplicate: seen[name]})
		seen[name] = true
	}
	_, err := dec.Token()
	return n, err
}
