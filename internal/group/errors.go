package group

import "github.com/pkg/errors"

// ErrFenced means that the server is fenced at a higher term than the term of the
// call.
var ErrFenced = errors.New("group: server is fenced at a higher term")
