package replace

import (
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Members returns the list of a group's members after servers with an entry
// were added and covered ones removed, in ascending order, and whether it
// differs. A member that ended stays on the list until it is covered: another
// replica has all that it may have received.
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

// Stopped returns the members that are not present, without the primary: its log
// is what the others are measured by.
func Stopped(list, present []tables.UpstreamID, primary tables.UpstreamID) []tables.UpstreamID {
	var out []tables.UpstreamID
	for _, id := range list {
		if id != primary && !slices.Contains(present, id) {
			out = append(out, id)
		}
	}
	return out
}
