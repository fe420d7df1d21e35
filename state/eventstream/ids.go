package eventstream

import (
	"bytes"
	"strconv"
)

// isNumber reports whether the id is a decimal number. Other ids have no defined order.
func isNumber(id []byte) bool {
	for _, digit := range id {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return len(id) > 0
}

// isGreater reports whether a is greater than b, for decimal numbers of any length.
func isGreater(a, b []byte) bool {
	a, b = bytes.TrimLeft(a, "0"), bytes.TrimLeft(b, "0")
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return bytes.Compare(a, b) > 0
}

// isSuccessor reports whether a equals b+1. It returns false for numbers that exceed 64 bits.
func isSuccessor(a, b []byte) bool {
	next, err := strconv.ParseUint(string(a), 10, 64)
	if err != nil {
		return false
	}
	before, err := strconv.ParseUint(string(b), 10, 64)
	return err == nil && next == before+1 && next > 0
}
