// Package intent parses and validates the configuration that operators want,
// stated as one JSON document.
//
// The structure is validated against a published JSON schema, the semantics by
// this package. All errors are reported at once, each with its location as a
// JSON pointer. Both routers and goldcrestctl use it.
package intent

import (
	"bytes"
	_ "embed" // for the schema
	"encoding/json"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"goldcrestport/state/config"
)

// Intent is the configuration that the operators want.
type Intent struct {
	Teams    map[string]config.Team    `json:"teams"`
	Services map[string]config.Service `json:"services"`
	// Drain lists the ids of backend servers that receive no new work.
	Drain []string `json:"drain,omitempty"`
	// Evacuate lists the data centres whose backend servers receive no new work.
	Evacuate []string `json:"evacuate,omitempty"`
	// Operators maps an operator's name to the digest of their token.
	Operators map[string]string `json:"operators"`
}

//go:embed schema.json
var schema []byte

// schemaURL is the $id of the schema.
const schemaURL = "https://goldcrestport.example/schema/intent.json"

// Schema returns the published JSON schema.
func Schema() []byte { return bytes.Clone(schema) }

// Error is one validation error of an intent.
type Error struct {
	// Path is a JSON pointer to the invalid value.
	Path string `json:"path"`
	// Message describes the error.
	Message string `json:"message"`
}

// Errors holds all validation errors of an intent.
type Errors []Error

// Error implements error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Path + ": " + one.Message
	}
	return strings.Join(lines, "\n")
}

// Parse parses and validates the JSON text. It returns the intent or all its Errors.
func Parse(data []byte) (*Intent, error) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, Errors{{Path: "/", Message: "not JSON: " + err.Error()}}
	}
	compiled, err := compile()
	if err != nil {
		return nil, err
	}
	found := repeatedKeys(data)
	found = append(found, schemaErrors(compiled.Validate(value))...)
	if len(found) > 0 {
		return nil, found
	}
	var in Intent
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, Errors{{Path: "/", Message: err.Error()}}
	}
	if found := in.check(); len(found) > 0 {
		return nil, found
	}
	return &in, nil
}

// FromDocument returns the intent that corresponds to a document.
func FromDocument(d *config.Document) *Intent {
	c := d.Content()
	return &Intent{Teams: c.Teams, Services: c.Services, Drain: c.Drain, Evacuate: c.Evacuate, Operators: c.Operators}
}

// Document returns a document with the content that the intent describes.
func (in *Intent) Document() *config.Document {
	d := &config.Document{Teams: in.Teams, Services: in.Services, Drain: in.Drain, Evacuate: in.Evacuate, Operators: in.Operators}
	return d.Content()
}
