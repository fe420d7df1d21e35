package intent

import (
	"bytes"
	"encoding/json"
	"path"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// compile returns the schema, which is compiled on the first call.
var compile = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, errors.Wrap(err, "intent schema")
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaURL, doc); err != nil {
		return nil, errors.Wrap(err, "intent schema")
	}
	compiled, err := c.Compile(schemaURL)
	return compiled, errors.Wrap(err, "intent schema")
})

// schemaErrors flattens the schema library's error tree to its leaves, sorted by
// path.
func schemaErrors(err error) Errors {
	var top *jsonschema.ValidationError
	if err == nil {
		return nil
	}
	if !errors.As(err, &top) {
		return Errors{{Path: "/", Message: err.Error()}}
	}
	var out Errors
	collect(top, &out)
	sort.SliceStable(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out
}

// collect appends the leaf errors below e. For an invalid property name the library
// reports the location of another property, so the path is taken from the location
// in the schema: names are checked at the top level only.
func collect(e *jsonschema.ValidationError, out *Errors) {
	if name, ok := e.ErrorKind.(*kind.PropertyNames); ok {
		place := []string{path.Base(path.Dir(e.SchemaURL)), name.Property}
		*out = append(*out, Error{Path: pointer(place), Message: "not a name: " + strconv.Quote(name.Property)})
		return
	}
	if extra, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		for _, p := range extra.Properties {
			place := append(append([]string{}, e.InstanceLocation...), p)
			*out = append(*out, Error{Path: pointer(place), Message: "unknown key"})
		}
		return
	}
	if len(e.Causes) == 0 {
		text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		*out = append(*out, Error{Path: pointer(e.InstanceLocation), Message: text})
	}
	for _, cause := range e.Causes {
		collect(cause, out)
	}
}

// pointer returns the path as a JSON pointer (RFC 6901). The whole document is
// written as "/" instead of the empty string, so that it is visible in output.
func pointer(tokens []string) string {
	if len(tokens) == 0 {
		return "/"
	}
	var b strings.Builder
	for _, t := range tokens {
		b.WriteByte('/')
		b.WriteString(escaper.Replace(t))
	}
	return b.String()
}

var escaper = strings.NewReplacer("~", "~0", "/", "~1")

// repeatedKeys finds keys that occur twice in one object. A decoder would keep the
// last one and silently drop what the operator wrote first.
func repeatedKeys(data []byte) Errors {
	dec := json.NewDecoder(bytes.NewReader(data))
	var out Errors
	walkKeys(dec, nil, &out)
	return out
}

// walkKeys reads one value. The text must be valid JSON.
func walkKeys(dec *json.Decoder, place []string, out *Errors) {
	token, err := dec.Token()
	if err != nil {
		return
	}
	switch token {
	case json.Delim('{'):
		walkObject(dec, place, out)
	case json.Delim('['):
		for i := 0; dec.More(); i++ {
			walkKeys(dec, append(place, strconv.Itoa(i)), out)
		}
		_, _ = dec.Token()
	}
}

func walkObject(dec *json.Decoder, place []string, out *Errors) {
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return
		}
		key, _ := token.(string)
		inner := append(place[:len(place):len(place)], key)
		if seen[key] {
			*out = append(*out, Error{Path: pointer(inner), Message: "the key stands twice"})
		}
		seen[key] = true
		walkKeys(dec, inner, out)
	}
	_, _ = dec.Token()
}
