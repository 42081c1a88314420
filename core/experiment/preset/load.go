package preset

import (
	"bytes"
	"embed"
	"encoding/json"
	"time"

	"tarragonwalk/core/fault"
)

//go:embed *.json
var files embed.FS

// Load returns the embedded preset with the given name.
func Load(name string) (Preset, error) {
	text, err := files.ReadFile(name + ".json")
	if err != nil {
		return Preset{}, fault.Wrap(err, fault.CodeInvalid, "unknown preset")
	}
	// The generated UnmarshalJSON ignores unknown keys. A type without it lets the decoder reject them.
	type plain Preset
	strict := json.NewDecoder(bytes.NewReader(text))
	strict.DisallowUnknownFields()
	if err := strict.Decode(new(plain)); err != nil {
		return Preset{}, fault.Wrap(err, fault.CodeInvalid, "preset "+name)
	}
	var p Preset
	if err := json.Unmarshal(text, &p); err != nil {
		return Preset{}, fault.Wrap(err, fault.CodeInvalid, "preset "+name)
	}

	return p, nil
}

// Delay returns the one-way delay between two zones.
func (p *Preset) Delay(a, b Zone) time.Duration {
	switch {
	case a.Name == b.Name:
		return 0
	case a.Region == b.Region:
		return time.Duration(p.ZoneDelayMicros) * time.Microsecond
	default:
		return time.Duration(p.RegionDelayMicros) * time.Microsecond
	}
}
