package configcheck

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Unread returns the finding for a text that routers cannot decode. The decoder stops
// at the first such place.
func Unread(data []byte, err error) Finding {
	f := Finding{Code: Refused, Severity: Error, Place: "$", Kind: Document, Message: err.Error()}
	var syntax *json.SyntaxError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		f.Message = "not JSON at byte " + strconv.FormatInt(syntax.Offset, 10) + ": " + syntax.Error()
	case errors.As(err, &typed):
		f.Message = "a " + typed.Value + " does not fit the type " + typed.Type.String()
		f.Place = placeAt(data, typed.Offset)
	}
	return f
}

// placeAt returns the path of the innermost value that reaches up to or beyond the offset.
func placeAt(data []byte, offset int64) string {
	w := walker{dec: json.NewDecoder(bytes.NewReader(data)), offset: offset}
	w.value("")
	if w.place == "" {
		return "$"
	}
	return w.place
}

// walker follows a JSON text up to an offset.
type walker struct {
	dec    *json.Decoder
	offset int64
	place  string
	done   bool
}

// value reads one value. The first token that ends at or after the offset is the place.
func (w *walker) value(place string) {
	token, err := w.dec.Token()
	if err != nil || w.dec.InputOffset() >= w.offset {
		w.place, w.done = place, true
		return
	}
	switch token {
	case json.Delim('{'):
		for !w.done && w.dec.More() {
			key, _ := w.dec.Token()
			name, _ := key.(string)
			w.value(Field(place, name))
		}
	case json.Delim('['):
		for i := 0; !w.done && w.dec.More(); i++ {
			w.value(at(place, i))
		}
	default:
		return
	}
	if !w.done {
		_, _ = w.dec.Token()
	}
}

// Field returns the path of a field; names other than plain words are quoted.
func Field(place, name string) string {
	for _, c := range name {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '-') {
			return place + "[" + strconv.Quote(name) + "]"
		}
	}
	if place == "" {
		return name
	}
	return join(place, name)
}
