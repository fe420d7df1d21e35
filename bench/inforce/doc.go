// Package inforce measures how long an accepted configuration takes until it
// is in force in every process of a fleet, and what the fleet costs the
// platform meanwhile.
package inforce
