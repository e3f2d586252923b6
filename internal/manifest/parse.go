package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"
)

// jsonSpace is what JSON allows between values.
const jsonSpace = " \t\r\n"

// Parse reads one JSON document strictly: exact field names, each at most
// once, nothing after the end. It says nothing of the content; see Validate.
func Parse(data []byte) (*Manifest, error) {
	if len(data) > MaxBytes {
		return nil, &TooLargeError{Bytes: len(data)}
	}
	if len(bytes.Trim(data, jsonSpace)) == 0 {
		return nil, &EmptyError{}
	}
	if err := checkEncoding(data); err != nil {
		return nil, err
	}
	if err := checkShape(data); err != nil {
		return nil, err
	}
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, decodeError(data, err)
	}
	return &m, nil
}

// Read parses data and validates it.
func Read(data []byte) (*Manifest, error) {
	m, err := Parse(data)
	if err != nil {
		return nil, err
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	return m, nil
}

// checkEncoding refuses invalid UTF-8, which the JSON library would replace:
// two different names could then become the same one.
func checkEncoding(data []byte) error {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size == 1 {
			return &SyntaxError{Position: positionOf(data, int64(i)), Detail: "invalid UTF-8"}
		}
		i += size
	}
	return nil
}

// checkShape finds the end of the first value, so that a second document is
// told from a broken first one, and then walks it against the types.
func checkShape(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	var document json.RawMessage
	if err := dec.Decode(&document); err != nil {
		return decodeError(data, err)
	}
	end := dec.InputOffset()
	if rest := bytes.TrimLeft(data[end:], jsonSpace); len(rest) > 0 {
		return &TrailingDataError{Position: positionOf(data, int64(len(data)-len(rest)))}
	}
	return newWalker(data).document()
}

// decodeError gives the JSON library's errors a type of this package.
func decodeError(data []byte, err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return &SyntaxError{Position: positionOf(data, syntax.Offset-1), Detail: syntax.Error()}
	case errors.As(err, &kind):
		return &TypeError{Position: positionOf(data, kind.Offset), Path: kind.Field, Want: kind.Type.String(), Got: kind.Value}
	case errors.Is(err, io.ErrUnexpectedEOF):
		return &SyntaxError{Position: positionOf(data, int64(len(data))), Detail: "the document ends too early"}
	}
	return &SyntaxError{Position: positionOf(data, 0), Detail: err.Error()}
}

func positionOf(data []byte, offset int64) Position {
	offset = min(max(offset, 0), int64(len(data)))
	before := data[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	return Position{Line: line, Column: len(before) - bytes.LastIndexByte(before, '\n')}
}
