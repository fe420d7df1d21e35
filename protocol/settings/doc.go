// Package settings holds the start-up settings of a process, read once from a
// JSON file. What operators change at run time is in state/config.
//
// Load checks the whole file and reports every problem at once, each with its
// path in the file. The file is checked in three steps:
//
//  1. The JSON text itself: syntax, and keys given twice.
//  2. Each value by itself, against the role's JSON schema in schema/.
//  3. Values against each other, in the role's checkConflicts method.
//
// To add a field, add one line to its struct in router.go, sidecar.go,
// direct.go or common.go and one line to the schema of the same name, with its check:
//
//	"exchange_every": { "duration": ["100ms", "1m"] }
//
// A default, if there is one, goes into DefaultRouter, DefaultSidecar or
// DefaultDirect. A test fails if a struct and its schema differ in a key. In addition to the
// keywords of JSON Schema (type, enum, minimum, maximum, required) there are
//
//   - "duration": [least, greatest] for a Duration,
//   - "size": [least, greatest] for a Size,
//   - "format": "ip-port", "http-url" or "sha256" for strings.
package settings
