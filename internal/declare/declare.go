// Package declare reads directories of declaration files, which are JSON with
// comments, and merges them into one configuration document. Each file may hold
// any of the sections; how they are distributed over files doesn't change the
// document.
package declare

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/jsonc"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Extension is the file name extension of declaration files.
const Extension = ".jsonc"

// sections is the content of one declaration file.
type sections struct {
	Services         []config.Service    `json:"services"`
	Groups           []config.Group      `json:"groups"`
	Users            []config.User       `json:"users"`
	Operators        []config.Operator   `json:"operators"`
	LeavingVMs       []tables.VMID       `json:"leavingVMs"`
	LeavingUpstreams []tables.UpstreamID `json:"leavingUpstreams"`
}

// file is one declaration file with the source positions of its values.
type file struct {
	sections
	source *jsonc.Source
}

// Load reads all *.jsonc files directly in dirs, not in their subdirectories,
// checks them together and returns the merged document. The error is
// jsonc.Problems with all problems found.
func Load(dirs ...string) (config.Document, error) {
	files, problems := readDirs(dirs)
	if allParsed(files, problems) {
		markLeaving(files)
		problems = problems.And(validate(files))
	}
	if err := problems.Err(); err != nil {
		return config.Document{}, err
	}
	return merge(files), nil
}

// allParsed reports whether all files were read and parsed. If one was not, further
// checks would report the names that it declares as unknown.
func allParsed(files []file, problems jsonc.Problems) bool {
	wholeFile := func(p jsonc.Problem) bool { return p.Line == 0 }
	unparsed := func(f file) bool { return !f.source.Parsed() }
	return !slices.ContainsFunc(problems, wholeFile) && !slices.ContainsFunc(files, unparsed)
}

func readDirs(dirs []string) ([]file, jsonc.Problems) {
	var files []file
	var problems jsonc.Problems
	for _, dir := range dirs {
		paths, ps := list(dir)
		problems = append(problems, ps...)
		for _, path := range paths {
			var f file
			f.source, ps = jsonc.ReadFile(path, &f.sections)
			problems = append(problems, ps...)
			files = append(files, f)
		}
	}
	return files, problems
}

// list returns the declaration files of dir in name order, or dir itself if it is a
// file.
func list(dir string) ([]string, jsonc.Problems) {
	if info, err := os.Stat(dir); err == nil && info.Mode().IsRegular() {
		return []string{dir}, nil
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, jsonc.Problems{{File: dir, Message: err.Error()}}
	}
	var paths []string
	for _, e := range entries {
		if !e.IsDir() && filepath.Ext(e.Name()) == Extension {
			paths = append(paths, filepath.Join(dir, e.Name()))
		}
	}
	if len(paths) == 0 {
		return nil, jsonc.Problems{{File: dir, Message: "no " + Extension + " file in this directory"}}
	}
	return paths, nil
}

// markLeaving sets Leaving on each upstream that any of the files lists as leaving.
func markLeaving(files []file) {
	var leaving []tables.UpstreamID
	for _, f := range files {
		leaving = append(leaving, f.LeavingUpstreams...)
	}
	for _, f := range files {
		for _, g := range f.Groups {
			for i, u := range g.Upstreams {
				g.Upstreams[i].Leaving = u.Leaving || slices.Contains(leaving, u.ID)
			}
		}
	}
}

func merge(files []file) config.Document {
	var doc config.Document
	for _, f := range files {
		doc.Services = append(doc.Services, f.Services...)
		doc.Groups = append(doc.Groups, f.Groups...)
		doc.Users = append(doc.Users, f.Users...)
		doc.Operators = append(doc.Operators, f.Operators...)
		doc.LeavingVMs = append(doc.LeavingVMs, f.LeavingVMs...)
	}
	sortDocument(&doc)
	return doc
}

// sortDocument sorts all lists of doc, so that equal declarations have equal
// content hashes.
func sortDocument(doc *config.Document) {
	slices.SortFunc(doc.Services, func(a, b config.Service) int { return compare(a.Name, b.Name) })
	slices.SortFunc(doc.Groups, func(a, b config.Group) int { return compare(a.ID, b.ID) })
	slices.SortFunc(doc.Users, func(a, b config.User) int { return compare(a.Name, b.Name) })
	slices.SortFunc(doc.Operators, func(a, b config.Operator) int { return compare(a.Name, b.Name) })
	slices.Sort(doc.LeavingVMs)
	for _, g := range doc.Groups {
		slices.SortFunc(g.Upstreams, func(a, b config.Upstream) int { return compare(a.ID, b.ID) })
	}
	for _, s := range doc.Services {
		slices.SortFunc(s.Intents, func(a, b config.Intent) int { return compare(a.Name, b.Name) })
		slices.SortFunc(s.Objectives, func(a, b config.Objective) int { return compare(a.Promise, b.Promise) })
	}
}

func compare[S ~string](a, b S) int { return strings.Compare(string(a), string(b)) }
