// Package tomlcheck decodes TOML into structs and reports every problem of the
// text, each with its line and key, instead of stopping at the first.
package tomlcheck

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Class says what kind of fault a problem is.
type Class int

// Classes of problems.
const (
	// Rule is a value that the caller of Decode does not allow.
	Rule Class = iota
	Syntax
	TooLong
	UnknownKey
	WrongType
)

// Problem is one fault of a document.
type Problem struct {
	Class Class
	// File names the document; empty if the text came without a file.
	File string
	// Line is 1-based; 0 means unknown.
	Line int
	// Key is the path of the faulty key, for example service[0].timeout.
	Key string
	// Text says what is wrong and what to write instead.
	Text string
}

// String returns "FILE:LINE: KEY: TEXT" without the unknown parts.
func (p Problem) String() string {
	var parts []string
	switch {
	case p.File != "" && p.Line > 0:
		parts = append(parts, fmt.Sprintf("%s:%d", p.File, p.Line))
	case p.File != "":
		parts = append(parts, p.File)
	case p.Line > 0:
		parts = append(parts, fmt.Sprintf("line %d", p.Line))
	}
	if p.Key != "" {
		parts = append(parts, p.Key)
	}
	return strings.Join(append(parts, p.Text), ": ")
}

// Problems is the error that lists all faults of a document.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// WithFile returns err with the file named in each problem; other errors are unchanged.
func WithFile(file string, err error) error {
	var problems Problems
	if !errors.As(err, &problems) {
		return err
	}
	named := make(Problems, len(problems))
	for i, problem := range problems {
		problem.File = file
		named[i] = problem
	}
	return named
}

// Document is a decoded text that collects problems.
type Document struct {
	file     string
	lines    map[string]int
	problems Problems
}

// Decode fills the struct that target points to from text. Unknown keys, values of
// a wrong type and texts longer than maxBytes become problems; the remaining keys
// are still decoded, so that the caller can validate them. The second result is
// false if the text is too long or not valid TOML; target is then unchanged.
func Decode(file, text string, maxBytes int, target any) (*Document, bool) {
	d := &Document{file: file}
	if len(text) > maxBytes {
		d.addClass(TooLong, "", "the text has %d bytes; write at most %d", len(text), maxBytes)
		return d, false
	}
	if line, tooDeep := nesting(text); tooDeep {
		d.problems = append(d.problems, Problem{Class: Syntax, File: file, Line: line, Text: fmt.Sprintf("values or keys are nested more than %d deep; write them flatter", maxNesting)})
		return d, false
	}
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		d.addSyntaxError(err)
		return d, false
	}
	d.lines = indexLines(text)
	d.decodeTable(tree, reflect.ValueOf(target).Elem(), "")
	return d, true
}

func (d *Document) addSyntaxError(err error) {
	problem := Problem{Class: Syntax, File: d.file, Text: err.Error()}
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		problem.Line = parseErr.Position.Line
		problem.Key = parseErr.LastKey
		problem.Text = "not valid TOML: " + parseErr.Message
	}
	d.problems = append(d.problems, problem)
}

// Add records a problem of the key; the empty key means the whole document.
func (d *Document) Add(key, format string, args ...any) { d.addClass(Rule, key, format, args...) }

// maxProblems bounds the problems of a document; a text of 1 MiB can have more than 100,000.
const maxProblems = 1000

func (d *Document) addClass(class Class, key, format string, args ...any) {
	switch {
	case len(d.problems) == maxProblems:
		key, format, args = "", "more than %d problems; correct the others first", []any{maxProblems}
	case len(d.problems) > maxProblems:
		return
	}
	d.problems = append(d.problems, Problem{Class: class, File: d.file, Line: d.Line(key), Key: key, Text: fmt.Sprintf(format, args...)})
}

// Line returns the line of the key, or of the nearest enclosing table, or 0.
func (d *Document) Line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// ExactLine returns the line on which the key itself is written, or 0.
func (d *Document) ExactLine(key string) int { return d.lines[key] }

// Err returns all problems in the order of their lines, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
	return d.problems
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (d *Document) decodeTable(tree map[string]any, target reflect.Value, path string) {
	fields := make(map[string]reflect.Value)
	var names []string
	for i := range target.NumField() {
		if tag := target.Type().Field(i).Tag.Get("toml"); tag != "" {
			fields[tag] = target.Field(i)
			names = append(names, tag)
		}
	}
	keys := make([]string, 0, len(tree))
	for key := range tree {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		field, known := fields[key]
		if !known {
			d.addClass(UnknownKey, join(path, key), "unknown key; the keys here are %s", strings.Join(names, ", "))
			continue
		}
		d.decodeValue(tree[key], field, join(path, key))
	}
}

func (d *Document) decodeValue(value any, target reflect.Value, path string) {
	if unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok && target.Type() != reflect.TypeFor[time.Time]() {
		d.decodeText(value, unmarshaler, path)
		return
	}
	switch target.Kind() {
	case reflect.Slice:
		d.decodeSlice(value, target, path)
		return
	case reflect.Struct:
		if tree, ok := value.(map[string]any); ok {
			d.decodeTable(tree, target, path)
			return
		}
	case reflect.Float64:
		if integer, ok := value.(int64); ok {
			target.SetFloat(float64(integer))
			return
		}
	}
	if v := reflect.ValueOf(value); v.Type() == target.Type() && !localTime(value) {
		target.Set(v)
		return
	}
	d.addClass(WrongType, path, "has the wrong type; write %s", describeType(target.Type()))
}

// localTime reports whether the value is a time without a zone, which would mean
// different instants on VMs with different time zones.
func localTime(value any) bool {
	t, ok := value.(time.Time)
	return ok && strings.HasSuffix(t.Location().String(), "-local")
}

func (d *Document) decodeText(value any, target encoding.TextUnmarshaler, path string) {
	text, ok := value.(string)
	if !ok {
		d.addClass(WrongType, path, `has the wrong type; write text in quotes, for example "90s"`)
		return
	}
	if err := target.UnmarshalText([]byte(text)); err != nil {
		d.addClass(WrongType, path, `%v; write a number with a unit, for example "90s" or "5m"`, err)
	}
}

func (d *Document) decodeSlice(value any, target reflect.Value, path string) {
	var elements []any
	switch v := value.(type) {
	case []any:
		elements = v
	case []map[string]any:
		for _, table := range v {
			elements = append(elements, table)
		}
	default:
		d.addClass(WrongType, path, "has the wrong type; write %s", describeType(target.Type()))
		return
	}
	slice := reflect.MakeSlice(target.Type(), len(elements), len(elements))
	for i, element := range elements {
		d.decodeValue(element, slice.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(slice)
}

func describeType(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Time]():
		return "a time with zone and without quotes, for example 2027-01-31T18:00:00Z"
	case t.Kind() == reflect.String:
		return "text in quotes"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Int64:
		return "a whole number"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return "tables in double brackets, for example [[service]]"
	case t.Kind() == reflect.Slice:
		return `a list, for example ["a", "b"]`
	}
	return "a table in brackets"
}

// indexLines maps key paths to line numbers. It supports the common layout of one
// key per line; keys within inline tables are not indexed.
func indexLines(text string) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int)
	table := ""
	openQuote := ""
	for number, line := range strings.Split(text, "\n") {
		trimmed := strings.TrimSpace(line)
		if openQuote != "" {
			if strings.Contains(trimmed, openQuote) {
				openQuote = ""
			}
			continue
		}
		for _, quote := range []string{`"""`, `'''`} {
			if strings.Count(trimmed, quote)%2 == 1 {
				openQuote = quote
			}
		}
		switch {
		case strings.HasPrefix(trimmed, "[["):
			name, _, found := strings.Cut(trimmed[2:], "]]")
			if !found {
				continue
			}
			table = arrayPath(strings.TrimSpace(name), counts)
			lines[table] = number + 1
		case strings.HasPrefix(trimmed, "["):
			name, _, found := strings.Cut(trimmed[1:], "]")
			if found && !strings.ContainsAny(name, `",`) {
				table = strings.TrimSpace(name)
				lines[table] = number + 1
			}
		default:
			key, _, found := strings.Cut(trimmed, "=")
			if found && !strings.HasPrefix(trimmed, "#") {
				lines[join(table, strings.Trim(strings.TrimSpace(key), `"'`))] = number + 1
			}
		}
	}
	return lines
}

// arrayPath counts a new element of the array of tables and returns its indexed path.
func arrayPath(name string, counts map[string]int) string {
	parts := strings.Split(name, ".")
	path := ""
	for i, part := range parts {
		path = join(path, strings.TrimSpace(part))
		if i == len(parts)-1 {
			counts[path]++
		}
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}
