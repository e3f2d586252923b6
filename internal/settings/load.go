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

// iniOptions make parsing strict: duplicate keys stay detectable, ':' is not a
// delimiter, and a '#' inside a URL does not start a comment.
var iniOptions = ini.LoadOptions{
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
}

// maxFileBytes is far above the size of any real settings file. It bounds the
// read if the path names a device or a log file by mistake.
const maxFileBytes = 256 << 10

// Load reads the file at path and checks it against table. The error is a
// *FaultsError that lists all faults.
func Load(path string, table Table) (Values, error) {
	data, err := readFile(path)
	if err != nil {
		return Values{}, &FaultsError{File: path, Faults: []Fault{{Reason: ReasonUnreadable, Detail: err.Error()}}}
	}
	l := loader{table: table, lines: lineIndex(data), dir: filepath.Dir(path)}
	l.values.byKey = make(map[keyID]any, len(table.Keys))
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
	l.rejectUnknown(file)
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

// rejectUnknown reports unknown sections and keys: a misspelt limit would
// otherwise silently keep its default.
func (l *loader) rejectUnknown(file *ini.File) {
	for _, section := range file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !l.table.hasSection(name) {
			l.addFault(name, "", ReasonUnknownSection, fmt.Sprintf("unknown section %q", name))
			continue
		}
		for _, key := range section.Keys() {
			if _, known := l.table.findKey(name, key.Name()); !known {
				l.addFault(name, key.Name(), ReasonUnknownKey, fmt.Sprintf("unknown key %q", key.Name()))
			}
		}
	}
}

func (l *loader) loadKey(file *ini.File, k Key) {
	text, present := k.Default, false
	if file.HasSection(k.Section) && file.Section(k.Section).HasKey(k.Name) {
		key := file.Section(k.Section).Key(k.Name)
		if occurrences := key.ValueWithShadows(); len(occurrences) > 1 {
			l.addFault(k.Section, k.Name, ReasonDuplicateKey, fmt.Sprintf("the key occurs %d times", len(occurrences)))
			return
		}
		text, present = key.Value(), true
	}
	if !present && k.Required {
		l.addFault(k.Section, k.Name, ReasonMissing, "required key is missing")
		return
	}
	if !present && k.Optional {
		l.values.byKey[keyID{k.Section, k.Name}] = netip.AddrPort{}
		return
	}
	value, reason, detail := k.parse(text, l.dir)
	if reason != "" {
		l.addFault(k.Section, k.Name, reason, detail)
		return
	}
	l.values.byKey[keyID{k.Section, k.Name}] = value
}

func (l *loader) addFault(section, key string, reason Reason, detail string) {
	line := l.lines[keyID{section, key}]
	l.faults = append(l.faults, Fault{Section: section, Key: key, Line: line, Reason: reason, Detail: detail})
}

// lineIndex returns the line of the last occurrence of each section and key,
// which the INI library does not report.
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

// syntaxLine returns the first line that is neither blank, a comment, a section
// nor a key, or 0 if there is none.
func syntaxLine(data []byte) int {
	for i, line := range bytes.Split(data, []byte("\n")) {
		text := strings.TrimSpace(string(line))
		isSection := strings.HasPrefix(text, "[") && strings.Contains(text, "]")
		if text == "" || isComment(text) || isSection {
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
