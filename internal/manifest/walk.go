package manifest

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// walker compares a document, token by token, with the types it will be
// decoded into. The JSON library alone would match field names regardless of
// case, let the last of two equal fields win, take null for anything, and name
// neither place nor index of an unknown field.
type walker struct {
	data []byte
	dec  *json.Decoder
}

func newWalker(data []byte) *walker {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return &walker{data: data, dec: dec}
}

func (w *walker) document() error {
	return w.value("", reflect.TypeFor[Manifest]())
}

// position is that of the next token: separators before it are skipped.
func (w *walker) position() Position {
	offset := w.dec.InputOffset()
	rest := w.data[offset:]
	skipped := len(rest) - len(bytes.TrimLeft(rest, jsonSpace+",:"))
	return positionOf(w.data, offset+int64(skipped))
}

func (w *walker) token() (json.Token, error) {
	token, err := w.dec.Token()
	if err != nil {
		return nil, decodeError(w.data, err)
	}
	return token, nil
}

func (w *walker) value(path string, t reflect.Type) error {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	at := w.position()
	token, err := w.token()
	if err != nil {
		return err
	}
	if !matches(token, t) {
		return &TypeError{Position: at, Path: path, Want: kindName(t), Got: tokenName(token)}
	}
	switch t.Kind() {
	case reflect.Struct:
		return w.object(path, t)
	case reflect.Slice:
		return w.array(path, t)
	}
	return nil
}

func (w *walker) object(path string, t reflect.Type) error {
	fields := fieldsOf(t)
	seen := make(map[string]bool, len(fields))
	for w.dec.More() {
		at := w.position()
		token, err := w.token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		inner := join(path, name)
		field, known := fields[name]
		if !known {
			return &UnknownFieldError{Position: at, Path: inner}
		}
		if seen[name] {
			return &DuplicateFieldError{Position: at, Path: inner}
		}
		seen[name] = true
		if err := w.value(inner, field); err != nil {
			return err
		}
	}
	_, err := w.token()
	return err
}

func (w *walker) array(path string, t reflect.Type) error {
	for i := 0; w.dec.More(); i++ {
		if err := w.value(index(path, i), t.Elem()); err != nil {
			return err
		}
	}
	_, err := w.token()
	return err
}

func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields[name] = f.Type
	}
	return fields
}

// matches tells whether token can begin a value of type t without loss.
func matches(token json.Token, t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Struct:
		return token == json.Delim('{')
	case reflect.Slice:
		return token == json.Delim('[')
	case reflect.String:
		_, ok := token.(string)
		return ok
	case reflect.Bool:
		_, ok := token.(bool)
		return ok
	}
	number, ok := token.(json.Number)
	if !ok {
		return false
	}
	if t.Kind() == reflect.Float64 {
		_, err := number.Float64()
		return err == nil
	}
	_, err := strconv.ParseInt(number.String(), 10, t.Bits())
	return err == nil
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

func tokenName(token json.Token) string {
	switch v := token.(type) {
	case nil:
		return "null"
	case json.Delim:
		if v == '{' {
			return "an object"
		}
		return "an array"
	case string:
		return "a string"
	case bool:
		return strconv.FormatBool(v)
	case json.Number:
		return "the number " + v.String()
	}
	return "another value"
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func index(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
