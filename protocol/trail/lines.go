package trail

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
)

// maxLine is the number of bytes that are read of a line; the rest of a longer
// line is skipped.
const maxLine = 64 << 10

// EachLine calls take for each line. The text is valid during the call only; isCut says that
// the line was longer than maxLine and is truncated.
func EachLine(from io.Reader, take func(text []byte, isCut bool)) error {
	r := bufio.NewReaderSize(from, maxLine)
	for {
		text, isCut, err := r.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		take(text, isCut)
		for isCut && err == nil {
			_, isCut, err = r.ReadLine()
		}
	}
}
