package replace

import (
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Members returns the updated member list of a group in ascending order, and
// whether it differs from list. Servers with an entry in the store are added and
// covered ones are removed. A member that has stopped stays on the list until it
// is covered, that is, until another replica has everything that the stopped one
// may have received.
func Members(list, entered, covered []tables.UpstreamID) (next []tables.UpstreamID, differs bool) {
	for _, id := range list {
		if !slices.Contains(covered, id) || slices.Contains(entered, id) {
			next = append(next, id)
		}
	}
	for _, id := range entered {
		if !slices.Contains(next, id) {
			next = append(next, id)
		}
	}
	slices.Sort(next)
	return next, !slices.Equal(list, next)
}

// Stopped returns the members that are not present. It leaves out the primary,
// whose log is the reference for the other members.
func Stopped(list, present []tables.UpstreamID, primary tables.UpstreamID) []tables.UpstreamID {
	var out []tables.UpstreamID
	for _, id := range list {
		if id != primary && !slices.Contains(present, id) {
			out = append(out, id)
		}
	}
	return out
}
