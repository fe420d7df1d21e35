package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxFile is the largest size of a settings file, in bytes.
const maxFile = 1 << 20

// Settings are the settings of one role.
type Settings interface {
	// schema returns the JSON schema of the file.
	schema() string
	// checkConflicts reports values that conflict with each other.
	checkConflicts(*Problems)
}

// Load reads the JSON file into the settings, which must hold the defaults. It
// returns *Problems if the file was read but is not valid.
func Load(path string, into Settings) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFile+1))
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	problems := &Problems{File: path}
	if len(data) > maxFile {
		problems.add("", "the file is larger than %s", Size(maxFile))
		return problems
	}
	check(problems, data, into)
	if len(problems.List) == 0 {
		return nil
	}
	problems.sorted()
	return problems
}

// check decodes the data into the settings and reports all problems.
func check(p *Problems, data []byte, into Settings) {
	if !checkText(p, data) {
		return
	}
	checkSchema(p, data, into.schema())
	// A value of the wrong type keeps its default here; the schema check has
	// already reported it.
	if err := json.Unmarshal(data, into); err != nil && len(p.List) == 0 {
		p.add("", "%v", err)
	}
	values := &Problems{}
	into.checkConflicts(values)
	for _, one := range values.List {
		if !p.has(one.Path) {
			p.List = append(p.List, one)
		}
	}
}

// checkText reports text that is not exactly one JSON value, and duplicate keys.
func checkText(p *Problems, data []byte) bool {
	var value json.RawMessage
	if err := json.Unmarshal(data, &value); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			line, column := position(data, syntax.Offset)
			p.add("", "line %d, column %d: %v", line, column, err)
			return false
		}
		p.add("", "%v", err)
		return false
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	checkKeys(p, dec, "")
	return true
}

// position returns the line and column of a byte offset, both starting at 1.
func position(data []byte, offset int64) (line, column int) {
	before := data[:min(int(offset), len(data))]
	line = bytes.Count(before, []byte("\n")) + 1
	return line, len(before) - bytes.LastIndexByte(before, '\n') - 1
}

// checkKeys reports duplicate keys in the decoder's next value. The text must be
// valid JSON.
func checkKeys(p *Problems, dec *json.Decoder, path string) {
	token, _ := dec.Token()
	switch token {
	case json.Delim('{'):
		seen := map[string]bool{}
		for dec.More() {
			token, _ := dec.Token()
			key, _ := token.(string)
			at := join(path, key)
			if seen[key] {
				p.add(at, "is given twice")
			}
			seen[key] = true
			checkKeys(p, dec, at)
		}
		_, _ = dec.Token()
	case json.Delim('['):
		for i := 0; dec.More(); i++ {
			checkKeys(p, dec, join(path, strconv.Itoa(i)))
		}
		_, _ = dec.Token()
	}
}

// join appends a key to a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
