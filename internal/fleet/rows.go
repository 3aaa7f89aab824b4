package fleet

import (
	"strconv"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// RecordTable is the project's own table in the store: one row for each group's
// record, two for each group's members, and one for the coordinator lease. In era
// 0 only groups whose primary was ever replaced have a record.
//
// The keys contain the era. So a row that was written before the store came back
// from an older copy is never taken for one of the new era, and a write that is
// conditional on a version of an earlier era changes no row of a later one,
// although the store gives out the same versions again.
const RecordTable = "cranberrystage"

// rowKind distinguishes the rows of RecordTable.
type rowKind string

// Kinds of rows. The text is part of the key.
const (
	recordRow  rowKind = "group"
	membersRow rowKind = "members"
	// addressesRow holds the members' addresses. An address never changes, so the row is
	// the same in all eras.
	addressesRow rowKind = "addresses"
	leaseRow     rowKind = "duty"
)

// rowKey is the decoded key of a row.
type rowKey struct {
	era  uint64
	kind rowKind
	// group is empty for the coordinator lease.
	group tables.GroupID
}

// eraPrefix precedes the era in a key.
const eraPrefix = "era"

// String returns the row's key, such as "group/stock" in era 0 and
// "era2/group/stock" in era 2.
func (k rowKey) String() string {
	out := string(k.kind)
	if k.group != "" {
		out += "/" + string(k.group)
	}
	if k.era > 0 {
		out = eraPrefix + strconv.FormatUint(k.era, 10) + "/" + out
	}
	return out
}

// parseRowKey decodes the key of a group's record, members or addresses; ok is false for
// other rows.
func parseRowKey(text string) (k rowKey, ok bool) {
	kind, rest, _ := strings.Cut(text, "/")
	if number, found := strings.CutPrefix(kind, eraPrefix); found {
		era, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return rowKey{}, false
		}
		k.era = era
		kind, rest, _ = strings.Cut(rest, "/")
	}
	k.kind, k.group = rowKind(kind), tables.GroupID(rest)
	return k, k.group != "" && (k.kind == recordRow || k.kind == membersRow || k.kind == addressesRow)
}

// recordKey returns the key of the group's record in the attempt's era.
func (a *attempt) recordKey() string {
	return rowKey{era: a.era, kind: recordRow, group: a.id}.String()
}

// leaseKey returns the key of the coordinator lease in the attempt's era.
func (a *attempt) leaseKey() string { return rowKey{era: a.era, kind: leaseRow}.String() }
