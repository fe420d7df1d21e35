// Package soak runs the real programs as separate processes on loopback, makes
// random failures from outside them, alone, in series and together, and checks
// the promises from what callers and backend servers saw.
//
// A World holds the processes and what stands around them: a stand-in for the
// users' store, stand-ins for backend servers, relays on every link, and
// callers. A Record holds what was seen; Check reports which promises it breaks.
package soak
