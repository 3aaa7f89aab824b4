// Package logging makes the process's structured logger: one line a record,
// with a fixed prefix for each part of the program.
package logging

import (
	"context"
	"io"
	"log/slog"
)

// New returns a logger that writes text records of at least level to w.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: shortError}))
}

// shortError writes an error as its message, without the stack that it carries.
func shortError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

// For returns a logger whose messages start with the part's prefix, as in
// "failover: Promoted a new primary."
func For(log *slog.Logger, part string) *slog.Logger {
	return slog.New(prefixed{Handler: log.Handler(), prefix: part + ": "})
}

// prefixed puts a prefix before each message.
type prefixed struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (p prefixed) Handle(ctx context.Context, r slog.Record) error {
	out := slog.NewRecord(r.Time, r.Level, p.prefix+r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		out.AddAttrs(a)
		return true
	})
	return p.Handler.Handle(ctx, out)
}

// WithAttrs implements slog.Handler.
func (p prefixed) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixed{Handler: p.Handler.WithAttrs(attrs), prefix: p.prefix}
}

// WithGroup implements slog.Handler.
func (p prefixed) WithGroup(name string) slog.Handler {
	return prefixed{Handler: p.Handler.WithGroup(name), prefix: p.prefix}
}
