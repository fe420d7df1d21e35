package trail

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
)

// maxLine bounds a line that is read, in bytes; the rest of a longer one is
// passed over.
const maxLine = 64 << 10

// EachLine hands each line to take, which must not keep it, and tells whether it was longer
// than what is read of a line.
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
