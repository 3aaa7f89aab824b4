package pgsession

import (
	"regexp"
	"slices"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tags"
)

var settingName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_.]*$`)

// defaultSettings are settings that every connection already has, as reported
// to callers when they connect.
var defaultSettings = map[string]string{
	"client_encoding": "utf8",
	"datestyle":       "iso",
}

// startupSettings returns the settings that a caller's startup parameters
// request, ordered by name.
func startupSettings(params map[string]string) ([]setting, error) {
	var list []setting
	for name, value := range params {
		lower := strings.ToLower(name)
		switch {
		case lower == "user", lower == "database", lower == "application_name", strings.HasPrefix(lower, tags.Prefix):
			continue
		case lower == "replication", lower == "options":
			if value == "" || value == "false" {
				continue
			}
			return nil, codes.New(codes.Unsupported, codes.NotRun, 0, "startup parameter "+lower)
		case strings.HasPrefix(lower, "_pq_."):
			continue
		case !settingName.MatchString(name):
			return nil, codes.New(codes.Unsupported, codes.NotRun, 0, "name of a startup parameter")
		case isDefaultSetting(lower, value):
			continue
		}
		list = append(list, setting{name: lower, sql: "SET " + lower + " = " + quoteLiteral(value)})
	}
	slices.SortFunc(list, func(a, b setting) int { return strings.Compare(a.name, b.name) })
	var l settingsList
	l.setStartup(list)
	return list, l.checkLimits(nil)
}

func isDefaultSetting(name, value string) bool {
	v := strings.ToLower(strings.ReplaceAll(value, "-", ""))
	v, _, _ = strings.Cut(v, ",")
	return defaultSettings[name] != "" && defaultSettings[name] == v
}

// quoteLiteral returns text as an SQL literal, with quotes and backslashes
// escaped.
func quoteLiteral(text string) string {
	quoted := "'" + strings.ReplaceAll(text, "'", "''") + "'"
	if strings.Contains(text, `\`) {
		return "E" + strings.ReplaceAll(quoted, `\`, `\\`)
	}
	return quoted
}
