package settings

import (
	"fmt"
	"net/netip"
	"sort"
	"strings"
)

// Problem is one error in a settings file.
type Problem struct {
	// Path of the value in the file, such as "queues.per_team"; empty for the
	// file as a whole.
	Path string
	Text string
}

// String returns the problem as one line.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Text
	}
	return p.Path + ": " + p.Text
}

// Problems holds all errors in a settings file. It is the error that Load returns
// for a file that was read but is not valid.
type Problems struct {
	File string
	List []Problem
}

// Error returns the file and one line for each problem.
func (p *Problems) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings %s: %d to correct", p.File, len(p.List))
	for _, one := range p.List {
		b.WriteString("\n  " + one.String())
	}
	return b.String()
}

func (p *Problems) add(path, format string, args ...any) {
	p.List = append(p.List, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// has reports whether a problem was added for the path.
func (p *Problems) has(path string) bool {
	for _, one := range p.List {
		if one.Path == path {
			return true
		}
	}
	return false
}

// sorted orders the problems by path.
func (p *Problems) sorted() {
	sort.SliceStable(p.List, func(i, j int) bool { return p.List[i].Path < p.List[j].Path })
}

// listener is one address to bind and the path that sets it.
type listener struct{ path, address string }

// checkListeners reports listeners whose addresses conflict.
func checkListeners(p *Problems, all []listener) {
	for i, a := range all {
		for _, b := range all[:i] {
			if sameListener(a.address, b.address) {
				p.add(a.path, "%s is taken by %s", a.address, b.path)
			}
		}
	}
}

// sameListener reports whether both addresses take the same port of the same
// interface.
func sameListener(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}
