package declare

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/jsonc"
)

// Check reads files and directories of declarations. Beyond the problems that Load
// reports, it finds limits that contradict each other and groups that serve no
// database; both are accepted by Load. readable is false if a file could not be read
// or parsed, and the document is valid if there is no problem.
func Check(paths ...string) (doc config.Document, problems, notices jsonc.Problems, readable bool) {
	files, problems := readDirs(paths)
	if !allParsed(files, problems) {
		return config.Document{}, problems, nil, false
	}
	markLeaving(files)
	problems = problems.And(validate(files)).And(contradictions(files))
	return merge(files), problems, unused(files), true
}

// contradictions reports limits of which one makes another useless.
func contradictions(files []file) jsonc.Problems {
	v := &validator{}
	for _, f := range files {
		for i, s := range f.Services {
			for j, o := range s.Objectives {
				if o.Promise == PromiseLatency && s.Deadline > 0 && o.Threshold > s.Deadline {
					v.add(f, at(at("services", i)+".objectives", j)+".threshold", "%s is longer than the service's deadline of %s, so no answered request can miss it",
						time.Duration(o.Threshold), time.Duration(s.Deadline))
				}
			}
		}
	}
	return v.problems
}

// unused reports groups that no service uses.
func unused(files []file) jsonc.Problems {
	used := make(map[string]bool)
	for _, f := range files {
		for _, s := range f.Services {
			for _, g := range s.Databases {
				used[string(g)] = true
			}
		}
	}
	v := &validator{}
	for _, f := range files {
		for i, g := range f.Groups {
			if !used[string(g.ID)] {
				v.add(f, at("groups", i)+".id", "group %q serves no database", g.ID)
			}
		}
	}
	v.problems.Sort()
	return v.problems
}
