package configuration

import (
	"encoding/json"
	"strconv"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"tarragonwalk/core/fault"
)

// emptyDocument is the document that the first patch applies to.
const emptyDocument = `{"BackendServers":{},"Batch":{},"Deployments":{},"OnlineRoutes":{},"Operators":{},"Workspaces":{}}`

// ApplyPatch applies a patch to current, which may be nil, and returns the next version. The error is fault.CodeStaleVersion if the
// patch is not based on current, and fault.CodeInvalid if the patch or its result is invalid.
func ApplyPatch(current *Configuration, p Patch) (*Configuration, error) {
	version, document := 0, []byte(emptyDocument)
	if current != nil {
		version = current.Version
		var err error
		if document, err = json.Marshal(current); err != nil {
			return nil, fault.Wrap(err, fault.CodeInternal, "encode the configuration")
		}
	}
	if p.BaseVersion != version {
		return nil, Stale(version)
	}
	fields := map[string]string{}
	var patch map[string]json.RawMessage
	if err := json.Unmarshal(p.Patch, &patch); err != nil || patch == nil {
		fields["Patch"] = "must be a JSON object"

		return nil, invalid(fields)
	}
	for _, k := range []string{"Version", "Operation"} {
		if _, ok := patch[k]; ok {
			fields[k] = "is set by the system"
		}
	}
	merged, err := jsonpatch.MergePatch(document, p.Patch)
	if err != nil {
		fields["Patch"] = err.Error()

		return nil, invalid(fields)
	}
	c := decode(merged, fields)
	c.Version = version + 1
	c.Operation = p.Operation
	check(c, fields)
	if len(fields) > 0 {
		return nil, invalid(fields)
	}

	return c, nil
}

// Decode decodes and validates a stored configuration. It refuses unknown keys.
func Decode(document []byte) (*Configuration, error) {
	fields := map[string]string{}
	c := decode(document, fields)
	check(c, fields)
	if len(fields) > 0 {
		return nil, invalid(fields)
	}

	return c, nil
}

// Stale returns the error for a patch that is not based on the current version.
func Stale(current int) error {
	e := fault.New(fault.CodeStaleVersion, "the current version is "+strconv.Itoa(current))
	e.Param = "BaseVersion"
	e.Version = int64(current)

	return e
}

func invalid(fields map[string]string) error {
	e := fault.New(fault.CodeInvalid, "the configuration is invalid")
	e.Fields = fields

	return e
}
