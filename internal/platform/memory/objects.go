package memory

import (
	"context"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/pkg/errors"
)

// Objects is the object store of a Platform and shares its faults.
type Objects struct{ p *Platform }

// Objects returns the platform's object store.
func (p *Platform) Objects() Objects { return Objects{p: p} }

// Put implements platform.Objects. It does not overwrite an existing object.
func (o Objects) Put(ctx context.Context, key string, body []byte) error {
	return o.p.write(ctx, func() {
		if _, ok := o.p.objects[key]; !ok {
			o.p.objects[key] = slices.Clone(body)
		}
	})
}

// Replace stores body under key and overwrites an existing object.
func (o Objects) Replace(ctx context.Context, key string, body []byte) error {
	return o.p.write(ctx, func() { o.p.objects[key] = slices.Clone(body) })
}

// Get implements platform.Objects.
func (o Objects) Get(ctx context.Context, key string) ([]byte, error) {
	var body []byte
	found := false
	err := o.p.read(ctx, func() {
		body, found = o.p.objects[key]
		body = slices.Clone(body)
	})
	if err == nil && !found {
		err = errors.Wrapf(platform.ErrNotFound, "object %q", key)
	}
	return body, err
}
