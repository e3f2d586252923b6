package settings

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"gopkg.in/ini.v1"
)

// iniOptions keep the reader strict: a key given twice is seen as such, ':'
// inside a value is no delimiter, and a '#' in a URL starts no comment.
var iniOptions = ini.LoadOptions{
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
}

// maxFileBytes is far above any real file. It stops the reading of a device or
// of a log given by mistake.
const maxFileBytes = 256 << 10

// Load reads the file at path and checks it against table. The error is a
// *FaultsError that lists all faults at once.
func Load(path string, table Table) (Values, error) {
	data, err := readFile(path)
	if err != nil {
		return Values{}, &FaultsError{File: path, Faults: []Fault{{Reason: ReasonUnreadable, Detail: err.Error()}}}
	}
	l := loader{table: table, lines: lineIndex(data), dir: filepath.Dir(path)}
	l.values.m = make(map[keyID]any, len(table.Keys))
	l.load(data)
	if len(l.faults) > 0 {
		return Values{}, &FaultsError{File: path, Faults: l.faults}
	}
	return l.values, nil
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		return nil, &TooLargeError{Limit: maxFileBytes}
	}
	return data, err
}

type loader struct {
	table  Table
	lines  map[keyID]int
	dir    string
	values Values
	faults []Fault
}

func (l *loader) load(data []byte) {
	file, err := ini.LoadSources(iniOptions, data)
	if err != nil {
		l.faults = append(l.faults, Fault{Line: syntaxLine(data), Reason: ReasonSyntax, Detail: err.Error()})
		return
	}
	l.refuseUnknown(file)
	for _, k := range l.table.Keys {
		l.loadKey(file, k)
	}
	if len(l.faults) > 0 {
		return
	}
	for _, check := range l.table.Checks {
		l.faults = append(l.faults, check(l.values)...)
	}
}

// refuseUnknown catches misspelt names: a misspelt limit would otherwise run
// with its default, unnoticed.
func (l *loader) refuseUnknown(file *ini.File) {
	for _, section := range file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !l.table.hasSection(name) {
			l.fault(name, "", ReasonUnknownSection, fmt.Sprintf("section %q is not known", name))
			continue
		}
		for _, key := range section.Keys() {
			if _, known := l.table.find(name, key.Name()); !known {
				l.fault(name, key.Name(), ReasonUnknownKey, fmt.Sprintf("key %q is not known", key.Name()))
			}
		}
	}
}

func (l *loader) loadKey(file *ini.File, k Key) {
	text, given := k.Default, false
	if file.HasSection(k.Section) && file.Section(k.Section).HasKey(k.Name) {
		key := file.Section(k.Section).Key(k.Name)
		if all := key.ValueWithShadows(); len(all) > 1 {
			l.fault(k.Section, k.Name, ReasonDuplicateKey, fmt.Sprintf("given %d times", len(all)))
			return
		}
		text, given = key.Value(), true
	}
	if !given && k.Required {
		l.fault(k.Section, k.Name, ReasonMissing, "required key is absent")
		return
	}
	if !given && k.Optional {
		l.values.m[keyID{k.Section, k.Name}] = netip.AddrPort{}
		return
	}
	value, reason, detail := k.parse(text, l.dir)
	if reason != "" {
		l.fault(k.Section, k.Name, reason, detail)
		return
	}
	l.values.m[keyID{k.Section, k.Name}] = value
}

func (l *loader) fault(section, key string, reason Reason, detail string) {
	line := l.lines[keyID{section, key}]
	l.faults = append(l.faults, Fault{Section: section, Key: key, Line: line, Reason: reason, Detail: detail})
}

// lineIndex remembers where each section and key last stands, which the INI
// library does not tell.
func lineIndex(data []byte) map[keyID]int {
	index := make(map[keyID]int)
	section := ini.DefaultSection
	for i, line := range bytes.Split(data, []byte("\n")) {
		text := strings.TrimSpace(string(line))
		if strings.HasPrefix(text, "[") {
			section, _, _ = strings.Cut(text[1:], "]")
			section = strings.TrimSpace(section)
			index[keyID{section, ""}] = i + 1
			continue
		}
		if name, _, ok := strings.Cut(text, "="); ok && !isComment(text) {
			index[keyID{section, strings.TrimSpace(name)}] = i + 1
		}
	}
	return index
}

// syntaxLine is the first line that is neither blank, a comment, a section
// nor a key; 0 where it cannot be told.
func syntaxLine(data []byte) int {
	for i, line := range bytes.Split(data, []byte("\n")) {
		text := strings.TrimSpace(string(line))
		closed := strings.HasPrefix(text, "[") && strings.Contains(text, "]")
		if text == "" || isComment(text) || closed {
			continue
		}
		if name, _, ok := strings.Cut(text, "="); !ok || strings.TrimSpace(name) == "" {
			return i + 1
		}
	}
	return 0
}

func isComment(text string) bool {
	return strings.HasPrefix(text, ";") || strings.HasPrefix(text, "#")
}
