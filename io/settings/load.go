package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"tarragonwalk/core/fault"
	"tarragonwalk/schema"
)

// Load reads and validates a TOML file; a failure has code invalid and gives the reason and line for each invalid key.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(eris.Wrap(err, "read settings"), fault.CodeInvalid, "cannot read the settings file "+path)
	}

	return Parse(text)
}

// Parse validates settings given as TOML text; a failure has code invalid and gives the reason and line for each invalid key.
func Parse(text []byte) (*Settings, error) {
	document := map[string]any{}
	if err := toml.Unmarshal(text, &document); err != nil {
		return nil, syntaxError(err)
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInvalid, "the settings contain a value that JSON cannot represent")
	}
	if err := checkSchema(encoded, keyLines(text)); err != nil {
		return nil, err
	}
	s := &Settings{}
	if err := json.Unmarshal(encoded, s); err != nil {
		return nil, fault.Wrap(err, fault.CodeInvalid, "settings cannot be decoded")
	}
	FillDefaults(s)

	return s, nil
}

// FillDefaults sets the defaults of absent optional tables and of limits that are zero; the generated decoder sets defaults
// only in tables that are present.
func FillDefaults(s *Settings) {
	if s.Data == nil {
		s.Data = defaultsOf(&DataSettings{})
	}
	if s.Log == nil {
		s.Log = defaultsOf(&LogSettings{})
	}
	if s.Operator == nil {
		s.Operator = defaultsOf(&OperatorSettings{})
	}
	defaults := defaultsOf(&LimitSettings{})
	if s.Limits == nil {
		s.Limits = defaults
	}
	fillZero(&s.Limits.BodyBytes, defaults.BodyBytes)
	fillZero(&s.Limits.FileBytes, defaults.FileBytes)
	fillZero(&s.Limits.QueueRequests, defaults.QueueRequests)
	fillZero(&s.Limits.QueueBytes, defaults.QueueBytes)
}

// defaultsOf decodes an empty table, which sets the defaults of the schema.
func defaultsOf[T any](v *T) *T {
	if err := json.Unmarshal([]byte("{}"), v); err != nil {
		panic(err) // only possible if the schema requires a key in an optional table
	}

	return v
}

func fillZero(v *int, value int) {
	if *v == 0 {
		*v = value
	}
}

func syntaxError(err error) error {
	f := fault.Wrap(err, fault.CodeInvalid, "settings are not valid TOML")
	var d *toml.DecodeError
	if errors.As(err, &d) {
		row, column := d.Position()
		f.Message = fmt.Sprintf("settings are not valid TOML at line %d, column %d", row, column)
	}

	return f
}

func checkSchema(encoded []byte, lines map[string]int) error {
	compiled, err := compile()
	if err != nil {
		return err
	}
	var value any
	if err := json.Unmarshal(encoded, &value); err != nil {
		return fault.Wrap(err, fault.CodeInternal, "settings cannot be checked")
	}
	err = compiled.Validate(value)
	var v *jsonschema.ValidationError
	if !errors.As(err, &v) {
		return nil
	}
	f := fault.New(fault.CodeInvalid, "settings are not valid")
	f.Fields = map[string]string{}
	collectFields(v, lines, f.Fields)

	return f
}

func compile() (*jsonschema.Schema, error) {
	file, err := schema.Files.Open("settings.json")
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "settings schema is missing")
	}
	defer file.Close()
	document, err := jsonschema.UnmarshalJSON(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "settings schema is not JSON")
	}
	c := jsonschema.NewCompiler()
	c.RegisterFormat(&jsonschema.Format{
		Name:     "addr-port",
		Validate: checkAddress,
	})
	c.AssertFormat()
	if err := c.AddResource("settings.json", document); err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "settings schema is not valid")
	}
	s, err := c.Compile("settings.json#/$defs/Settings")
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "settings schema is not valid")
	}

	return s, nil
}

func checkAddress(v any) error {
	s, ok := v.(string)
	if !ok {
		return nil
	}
	_, err := netip.ParseAddrPort(s)

	return err
}

// collectFields adds the innermost causes, since the outer ones only state that a nested value is not valid.
func collectFields(v *jsonschema.ValidationError, lines map[string]int, fields map[string]string) {
	if len(v.Causes) > 0 {
		for _, c := range v.Causes {
			collectFields(c, lines, fields)
		}

		return
	}
	path := joinPath(v.InstanceLocation)
	reason := v.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	if line := nearestLine(v.InstanceLocation, lines); line > 0 {
		reason = fmt.Sprintf("line %d: %s", line, reason)
	}
	if path == "" {
		path = "settings"
	}
	if earlier, ok := fields[path]; ok {
		reason = earlier + "; " + reason
	}
	fields[path] = reason
}
