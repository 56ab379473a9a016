package ferryplatform

import (
	"encoding/json"
	"fmt"
)

// DecodeChanges decodes and validates the answer to a list or watch of a kind.
func DecodeChanges(kind string, b []byte) (Changes, error) {
	var out Changes
	if err := json.Unmarshal(b, &out); err != nil {
		return Changes{}, fmt.Errorf("decode changes: %w", err)
	}
	if err := out.check(kind); err != nil {
		return Changes{}, fmt.Errorf("decode changes: %w", err)
	}
	return out, nil
}

func (c Changes) check(kind string) error {
	for _, o := range c.Objects {
		switch {
		case o.Kind != kind:
			return fmt.Errorf("object of kind %q among those of kind %q", o.Kind, kind)
		case o.Name == "":
			return fmt.Errorf("object without a name")
		case o.Version == NoVersion || o.Version > c.Version:
			return fmt.Errorf("object %q at version %d in an answer at version %d", o.Name, o.Version, c.Version)
		case len(o.Value) > maxValueBytes:
			return fmt.Errorf("object %q has %d bytes, more than %d", o.Name, len(o.Value), maxValueBytes)
		}
	}
	return nil
}

// DecodeInstances decodes and validates the instance list.
func DecodeInstances(b []byte) (Instances, error) {
	var out Instances
	if err := json.Unmarshal(b, &out); err != nil {
		return nil, fmt.Errorf("decode instances: %w", err)
	}
	for _, in := range out {
		if err := in.check(); err != nil {
			return nil, fmt.Errorf("decode instances: %w", err)
		}
	}
	return out, nil
}

func (in Instance) check() error {
	if in.Name == "" {
		return fmt.Errorf("instance without a name")
	}
	switch in.Role {
	case RoleEntry, RoleEngine, RolePlain:
	default:
		return fmt.Errorf("instance %q has role %q", in.Name, in.Role)
	}
	switch in.State {
	case StateLive, StateLeaving:
	default:
		return fmt.Errorf("instance %q has state %q", in.Name, in.State)
	}
	return nil
}
