package settings

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration written as "1.5s" in JSON.
type Duration time.Duration

// D returns the duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalJSON parses a string such as "250ms". The value is unchanged if the
// string is not a duration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Newf("%q is no duration such as \"250ms\"", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Size is a number of bytes, written as "8MiB", "1.5GiB" or as a plain number of
// bytes in JSON.
type Size int64

// Units of a Size.
const (
	KiB Size = 1 << 10
	MiB Size = 1 << 20
	GiB Size = 1 << 30
)

// sizeUnits maps the suffixes to their units, longest first.
var sizeUnits = []struct {
	suffix string
	unit   Size
}{{"KiB", KiB}, {"MiB", MiB}, {"GiB", GiB}, {"B", 1}}

// Bytes returns the number of bytes.
func (s Size) Bytes() int64 { return int64(s) }

// String writes the size with the largest unit that divides it.
func (s Size) String() string {
	for _, u := range []int{2, 1, 0} {
		if unit := sizeUnits[u]; s != 0 && s%unit.unit == 0 {
			return strconv.FormatInt(int64(s/unit.unit), 10) + unit.suffix
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

// UnmarshalJSON parses "8MiB" or a whole number of bytes. The value is unchanged
// if the text is not a size.
func (s *Size) UnmarshalJSON(data []byte) error {
	text := string(data)
	if strings.HasPrefix(text, `"`) {
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
	}
	v, err := ParseSize(text)
	if err != nil {
		return err
	}
	*s = v
	return nil
}

// MarshalJSON writes the size as a string with its unit.
func (s Size) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// ParseSize reads "8MiB", "1.5GiB", "512B" or a number of bytes. A part of a byte
// is left out.
func ParseSize(text string) (Size, error) {
	number, unit := text, Size(1)
	for _, u := range sizeUnits {
		if rest, found := strings.CutSuffix(text, u.suffix); found {
			number, unit = rest, u.unit
			break
		}
	}
	wrong := errors.Newf("%q is no size such as \"8MiB\"", text)
	if n, err := strconv.ParseInt(number, 10, 64); err == nil {
		if n < 0 || n > math.MaxInt64/int64(unit) {
			return 0, wrong
		}
		return Size(n) * unit, nil
	}
	n, err := strconv.ParseFloat(number, 64)
	bytes := n * float64(unit)
	// What is no number compares false.
	if err != nil || !(bytes >= 0 && bytes < math.MaxInt64) || unit == 1 {
		return 0, wrong
	}
	return Size(bytes), nil
}
