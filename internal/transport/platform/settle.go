package platform

import (
	"bytes"
	"context"
	"errors"
)

// PutSettled is Put, but a write whose answer was lost is settled by reading the
// object back and comparing the value. The value must be unique to this write.
// ErrUnknown is returned if the object cannot be read either. A write that seems
// not to have taken effect may still do so later; it is reported as ErrConflict
// only if the object has changed, and as ErrUnknown otherwise.
func PutSettled(ctx context.Context, objects Objects, key string, value []byte, base Version) (Version, error) {
	version, err := objects.Put(ctx, key, value, base)
	if err == nil || !errors.Is(err, ErrUnknown) {
		return version, err
	}
	object, readErr := objects.Get(ctx, key)
	switch {
	case readErr == nil && bytes.Equal(object.Value, value):
		return object.Version, nil
	case readErr == nil && object.Version != base:
		return 0, errors.Join(ErrConflict, err)
	}
	return 0, err
}
