package declare

import (
	"fmt"
	"maps"
	"regexp"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/jsonc"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// namePattern matches valid ids and names.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9_.-]{0,62}$`)

// validator collects the problems of all files. It indexes the names of all
// files first, since a file may refer to names that another file declares.
type validator struct {
	problems jsonc.Problems
	// declared holds the position of each declared name.
	declared  map[entity]jsonc.Problem
	upstreams map[tables.UpstreamID]bool
	// usedBy holds the database that a group serves, as "service/database".
	usedBy    map[tables.GroupID]string
	addresses map[string]tables.UpstreamID
}

// entity is a declared name of one kind.
type entity struct {
	kind string
	name string
}

// Kinds of entities.
const (
	kindService  = "service"
	kindGroup    = "group"
	kindUpstream = "upstream"
	kindUser     = "user"
	kindOperator = "operator"
	kindVM       = "VM"
)

func validate(files []file) jsonc.Problems {
	v := &validator{
		declared:  make(map[entity]jsonc.Problem),
		upstreams: make(map[tables.UpstreamID]bool),
		usedBy:    make(map[tables.GroupID]string),
		addresses: make(map[string]tables.UpstreamID),
	}
	for _, f := range files {
		v.index(f)
	}
	for _, f := range files {
		v.groups(f)
		v.services(f)
		v.users(f)
		v.operators(f)
		v.leavingUpstreams(f)
	}
	v.requireOperator(files)
	v.problems.Sort()
	return v.problems
}

func (v *validator) add(f file, field, format string, args ...any) {
	v.problems = append(v.problems, f.source.Problem(field, fmt.Sprintf(format, args...)))
}

// index records all declared names and reports invalid and duplicate ones.
func (v *validator) index(f file) {
	for i, s := range f.Services {
		v.declare(f, kindService, string(s.Name), at("services", i)+".name")
	}
	for i, g := range f.Groups {
		v.declare(f, kindGroup, string(g.ID), at("groups", i)+".id")
		for j, u := range g.Upstreams {
			v.declare(f, kindUpstream, string(u.ID), at(at("groups", i)+".upstreams", j)+".id")
			v.upstreams[u.ID] = true
		}
	}
	for i, u := range f.Users {
		v.declare(f, kindUser, u.Name, at("users", i)+".name")
	}
	for i, o := range f.Operators {
		v.declare(f, kindOperator, o.Name, at("operators", i)+".name")
	}
	for i, vm := range f.LeavingVMs {
		v.declare(f, kindVM, string(vm), at("leavingVMs", i))
	}
}

func (v *validator) declare(f file, kind, name, field string) {
	if !namePattern.MatchString(name) {
		v.add(f, field, "want a name of letters, digits, '.', '_' and '-', have %q", name)
		return
	}
	key := entity{kind: kind, name: name}
	if first, ok := v.declared[key]; ok {
		v.add(f, field, "duplicate %s %q, also at %s:%d", kind, name, first.File, first.Line)
		return
	}
	v.declared[key] = f.source.Problem(field, "")
}

func (v *validator) known(kind, name string) bool {
	_, ok := v.declared[entity{kind: kind, name: name}]
	return ok
}

func (v *validator) leavingUpstreams(f file) {
	for i, u := range f.LeavingUpstreams {
		if !v.upstreams[u] {
			v.add(f, at("leavingUpstreams", i), "unknown upstream %q", u)
		}
	}
}

// requireOperator rejects a configuration without operators, since nobody could
// confirm a later plan.
func (v *validator) requireOperator(files []file) {
	if len(files) == 0 {
		return
	}
	if slices.ContainsFunc(files, func(f file) bool { return len(f.Operators) > 0 }) {
		return
	}
	v.add(files[0], "", "operators: no file declares an operator, so no later plan could be confirmed")
}

func at(field string, index int) string { return fmt.Sprintf("%s[%d]", field, index) }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
