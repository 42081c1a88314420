package demo

import (
	"context"
	"errors"
	"fmt"

	"tarragonwalk/core/fault"
	"tarragonwalk/examples"
)

func (d *Demo) patch(context.Context) (string, error) {
	patch, err := examples.Files.ReadFile("patch.json")
	if err != nil {
		return "", fault.Wrap(err, fault.CodeInternal, "cannot read an embedded example")
	}
	version, err := d.fleet.Patch("entry-2", operatorKey, 1, patch)
	if err != nil {
		return "", err
	}
	if err := d.fleet.AwaitVersion(version); err != nil {
		return "", err
	}

	return fmt.Sprintf("version %d in force on %d instances", version, len(d.fleet.Instances)), nil
}

func (d *Demo) patchStale(context.Context) (string, error) {
	patch, err := examples.Files.ReadFile("patch.json")
	if err != nil {
		return "", fault.Wrap(err, fault.CodeInternal, "cannot read an embedded example")
	}
	_, err = d.fleet.Patch("entry-3", operatorKey, 1, patch)
	var f *fault.Error
	if !errors.As(err, &f) || f.Code != fault.CodeStaleVersion {
		return "", failure("the stale patch returned %v", err)
	}

	return f.Message, nil
}
