package settings

import (
	"bytes"
	_ "embed" // the schemas are files beside this one
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema/router.json
var routerSchema string

//go:embed schema/sidecar.json
var sidecarSchema string

//go:embed schema/direct.json
var directSchema string

//go:embed schema/common.json
var commonSchema string

// Names by which the schemas refer to each other.
const (
	schemaURL = "settings.json"
	commonURL = "common.json"
)

// digestLength is the length of a SHA-256 digest, in bytes.
const digestLength = 32

// checkSchema reports each value that violates the schema.
func checkSchema(p *Problems, data []byte, schema string) {
	compiled, err := compile(schema)
	if err != nil {
		p.add("", "schema: %v", err)
		return
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		p.add("", "%v", err)
		return
	}
	var invalid *jsonschema.ValidationError
	if errors.As(compiled.Validate(value), &invalid) {
		collect(p, invalid)
	}
}

func compile(schema string) (*jsonschema.Schema, error) {
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	c.AssertVocabs()
	c.RegisterVocabulary(unitsVocabulary())
	c.RegisterFormat(&jsonschema.Format{Name: "ip-port", Validate: onString(checkAddress)})
	c.RegisterFormat(&jsonschema.Format{Name: "http-url", Validate: onString(checkURL)})
	c.RegisterFormat(&jsonschema.Format{Name: "sha256", Validate: onString(checkDigest)})
	for name, text := range map[string]string{schemaURL: schema, commonURL: commonSchema} {
		doc, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
		if err != nil {
			return nil, err
		}
		if err := c.AddResource(name, doc); err != nil {
			return nil, err
		}
	}
	return c.Compile(schemaURL)
}

// collect adds one problem for each leaf of the error.
func collect(p *Problems, e *jsonschema.ValidationError) {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			collect(p, cause)
		}
		return
	}
	path := strings.Join(e.InstanceLocation, ".")
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, key := range k.Properties {
			p.add(join(path, key), "unknown key")
		}
	case *kind.Required:
		for _, key := range k.Missing {
			p.add(join(path, key), "is required")
		}
	default:
		p.add(path, "%s", e.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
	}
}

// onString applies a check to strings; the keyword "type" checks other types.
func onString(check func(string) error) func(any) error {
	return func(v any) error {
		if s, ok := v.(string); ok {
			return check(s)
		}
		return nil
	}
}

func checkAddress(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return errors.New("want an IP address and a port, such as 10.0.0.7:8080")
	}
	if a.Port() == 0 {
		return errors.New("the port must not be 0")
	}
	return nil
}

func checkURL(s string) error {
	u, err := url.Parse(s)
	if err != nil {
		return err
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errors.New("want http://host:port or https://host:port")
	}
	return nil
}

func checkDigest(s string) error {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != digestLength || s != strings.ToLower(s) {
		return errors.New("want a SHA-256 digest as 64 lower-case hex digits")
	}
	return nil
}

// parsers holds the parser of each unit keyword's values.
var parsers = map[string]func(string) (int64, error){
	"duration": func(s string) (int64, error) {
		d, err := time.ParseDuration(s)
		if err != nil {
			return 0, errors.Newf("%q is no duration such as \"250ms\"", s)
		}
		return int64(d), nil
	},
	"size": func(s string) (int64, error) {
		v, err := ParseSize(s)
		return int64(v), err
	},
}

// unitsVocabulary adds the keywords "duration" and "size".
func unitsVocabulary() *jsonschema.Vocabulary {
	return &jsonschema.Vocabulary{
		URL: "urn:goldcrestport:units",
		Compile: func(_ *jsonschema.CompilerContext, obj map[string]any) (jsonschema.SchemaExt, error) {
			for keyword := range parsers {
				if bounds, ok := obj[keyword].([]any); ok {
					return newUnitRange(keyword, bounds)
				}
			}
			return nil, nil
		},
	}
}

// unitRange checks that a value has a unit and is within bounds.
type unitRange struct {
	keyword     string
	least, most string
}

func newUnitRange(keyword string, bounds []any) (jsonschema.SchemaExt, error) {
	const both = 2
	if len(bounds) != both {
		return nil, errors.Newf("%s: want [least, greatest]", keyword)
	}
	least, okLeast := bounds[0].(string)
	most, okMost := bounds[1].(string)
	_, errLeast := parsers[keyword](least)
	_, errMost := parsers[keyword](most)
	if !okLeast || !okMost || errLeast != nil || errMost != nil {
		return nil, errors.Newf("%s: the bounds must be strings with units", keyword)
	}
	return &unitRange{keyword: keyword, least: least, most: most}, nil
}

// Validate implements jsonschema.SchemaExt.
func (r *unitRange) Validate(ctx *jsonschema.ValidatorContext, v any) {
	if text := r.violation(v); text != "" {
		ctx.AddError(&unitError{keyword: r.keyword, text: text})
	}
}

func (r *unitRange) violation(v any) string {
	text, ok := v.(string)
	if number, isNumber := v.(json.Number); isNumber && r.keyword == "size" {
		text, ok = number.String(), true
	}
	if !ok {
		return "want a " + r.keyword + " with its unit, as a string"
	}
	parse := parsers[r.keyword]
	value, err := parse(text)
	if err != nil {
		return err.Error()
	}
	least, _ := parse(r.least)
	most, _ := parse(r.most)
	if value < least || value > most {
		return text + " is outside " + r.least + " to " + r.most
	}
	return ""
}

// unitError is the validation error of a unitRange.
type unitError struct{ keyword, text string }

// KeywordPath implements jsonschema.ErrorKind.
func (f *unitError) KeywordPath() []string { return []string{f.keyword} }

// LocalizedString implements jsonschema.ErrorKind.
func (f *unitError) LocalizedString(*message.Printer) string { return f.text }
