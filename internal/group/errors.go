package group

import "github.com/pkg/errors"

// ErrFenced means that the server has promised a higher term than the call's.
var ErrFenced = errors.New("group: server is fenced at a higher term")
