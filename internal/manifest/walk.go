package manifest

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// walker checks a document, token by token, against the types that it will be
// decoded into. The JSON library alone would match field names regardless of case,
// use the last of two duplicate fields, accept null for any type, and report
// neither the position nor the array index of an unknown field.
type walker struct {
	data []byte
	dec  *json.Decoder
}

func newWalker(data []byte) *walker {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return &walker{data: data, dec: dec}
}

func (w *walker) checkDocument() error {
	return w.checkValue("", reflect.TypeFor[Manifest]())
}

// nextPosition returns the position of the next token, after any separators.
func (w *walker) nextPosition() Position {
	offset := w.dec.InputOffset()
	rest := w.data[offset:]
	skipped := len(rest) - len(bytes.TrimLeft(rest, jsonWhitespace+",:"))
	return positionOf(w.data, offset+int64(skipped))
}

func (w *walker) nextToken() (json.Token, error) {
	token, err := w.dec.Token()
	if err != nil {
		return nil, wrapDecodeError(w.data, err)
	}
	return token, nil
}

func (w *walker) checkValue(path string, t reflect.Type) error {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	at := w.nextPosition()
	token, err := w.nextToken()
	if err != nil {
		return err
	}
	if !canDecode(token, t) {
		return &TypeError{Position: at, Path: path, Want: typeName(t), Got: tokenName(token)}
	}
	switch t.Kind() {
	case reflect.Struct:
		return w.checkObject(path, t)
	case reflect.Slice:
		return w.checkArray(path, t)
	}
	return nil
}

func (w *walker) checkObject(path string, t reflect.Type) error {
	fields := fieldTypes(t)
	seen := make(map[string]bool, len(fields))
	for w.dec.More() {
		at := w.nextPosition()
		token, err := w.nextToken()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		fieldPath := joinPath(path, name)
		field, known := fields[name]
		if !known {
			return &UnknownFieldError{Position: at, Path: fieldPath}
		}
		if seen[name] {
			return &DuplicateFieldError{Position: at, Path: fieldPath}
		}
		seen[name] = true
		if err := w.checkValue(fieldPath, field); err != nil {
			return err
		}
	}
	_, err := w.nextToken()
	return err
}

func (w *walker) checkArray(path string, t reflect.Type) error {
	for i := 0; w.dec.More(); i++ {
		if err := w.checkValue(indexPath(path, i), t.Elem()); err != nil {
			return err
		}
	}
	_, err := w.nextToken()
	return err
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields[name] = f.Type
	}
	return fields
}

// canDecode reports whether token can begin a value of type t and, if it is a number,
// fits t.
func canDecode(token json.Token, t reflect.Type) bool {
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

func typeName(t reflect.Type) string {
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
	return "an integer"
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func indexPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
