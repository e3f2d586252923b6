package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"
)

// jsonWhitespace is the whitespace that JSON allows between tokens.
const jsonWhitespace = " \t\r\n"

// Parse parses one JSON document strictly: field names must match exactly, fields
// must not repeat, and no data may follow the document. It does not check the
// values; see Validate.
func Parse(data []byte) (*Manifest, error) {
	if len(data) > MaxBytes {
		return nil, &TooLargeError{Bytes: len(data)}
	}
	if len(bytes.Trim(data, jsonWhitespace)) == 0 {
		return nil, &EmptyError{}
	}
	if err := checkUTF8(data); err != nil {
		return nil, err
	}
	if err := checkStructure(data); err != nil {
		return nil, err
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, wrapDecodeError(data, err)
	}
	return &m, nil
}

// ParseAndValidate returns the manifest in data if it parses and is valid.
func ParseAndValidate(data []byte) (*Manifest, error) {
	m, err := Parse(data)
	if err != nil {
		return nil, err
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	return m, nil
}

// checkUTF8 rejects invalid UTF-8. The JSON library would replace it, which could
// make two different names equal.
func checkUTF8(data []byte) error {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size == 1 {
			return &SyntaxError{Position: positionOf(data, int64(i)), Detail: "invalid UTF-8"}
		}
		i += size
	}
	return nil
}

// checkStructure checks that the data is a single JSON value that fits the manifest
// types. It looks for the end of the first value first, to distinguish trailing
// data from a syntax error inside the document.
func checkStructure(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	var document json.RawMessage
	if err := dec.Decode(&document); err != nil {
		return wrapDecodeError(data, err)
	}
	end := dec.InputOffset()
	if rest := bytes.TrimLeft(data[end:], jsonWhitespace); len(rest) > 0 {
		return &TrailingDataError{Position: positionOf(data, int64(len(data)-len(rest)))}
	}
	return newWalker(data).checkDocument()
}

// wrapDecodeError converts errors of the JSON library to error types of this
// package.
func wrapDecodeError(data []byte, err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return &SyntaxError{Position: positionOf(data, syntax.Offset-1), Detail: syntax.Error()}
	case errors.As(err, &kind):
		return &TypeError{Position: positionOf(data, kind.Offset), Path: kind.Field, Want: kind.Type.String(), Got: kind.Value}
	case errors.Is(err, io.ErrUnexpectedEOF):
		return &SyntaxError{Position: positionOf(data, int64(len(data))), Detail: "unexpected end of the document"}
	}
	return &SyntaxError{Position: positionOf(data, 0), Detail: err.Error()}
}

func positionOf(data []byte, offset int64) Position {
	offset = min(max(offset, 0), int64(len(data)))
	before := data[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	return Position{Line: line, Column: len(before) - bytes.LastIndexByte(before, '\n')}
}
