package configuration

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// defaults are, by type, the smallest valid documents. Decoding one sets the optional fields to the defaults of the schema; the
// required fields are then overwritten or reported as missing.
var defaults = map[reflect.Type]string{
	reflect.TypeFor[BackendServer](): `{"Address":"127.0.0.1:1","Deployment":"x","Kind":"engine","Region":"x","Zone":"x"}`,
	reflect.TypeFor[BatchDefaults](): `{}`,
	reflect.TypeFor[Deployment]():    `{"Model":"x"}`,
	reflect.TypeFor[OnlineRoute]():   `{"Deployment":"x","Kind":"model"}`,
	reflect.TypeFor[Workspace]():     `{"KeyHashes":[]}`,
}

// decode decodes a document field by field, because the generated decoder stops at the first error and accepts unknown keys.
// It adds the reason for each invalid field to fields, by path.
func decode(document []byte, fields map[string]string) *Configuration {
	c := &Configuration{}
	fill(reflect.ValueOf(c).Elem(), document, "", fields)
	for name, r := range c.OnlineRoutes {
		if r.Kind == RouteKindModel {
			r.Idempotent = true
			c.OnlineRoutes[name] = r
		}
	}

	return c
}

func join(path, key string) string {
	if path == "" {
		return key
	}

	return path + "." + key
}

func fill(v reflect.Value, raw json.RawMessage, path string, fields map[string]string) {
	_, generated := v.Addr().Interface().(json.Unmarshaler)
	switch {
	case v.Kind() == reflect.Struct && generated:
		fillStruct(v, raw, path, fields)
	case v.Kind() == reflect.Map:
		fillMap(v, raw, path, fields)
	case v.Kind() == reflect.Slice:
		fillSlice(v, raw, path, fields)
	case string(raw) == "null":
		fields[path] = "must not be null"
	default:
		if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
			fields[path] = err.Error()
		}
	}
}

func object(raw json.RawMessage, path string, fields map[string]string) (map[string]json.RawMessage, bool) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil || members == nil {
		fields[path] = "must be an object"

		return nil, false
	}

	return members, true
}

func fillStruct(v reflect.Value, raw json.RawMessage, path string, fields map[string]string) {
	members, ok := object(raw, path, fields)
	if !ok {
		return
	}
	t := v.Type()
	if d, ok := defaults[t]; ok {
		if err := json.Unmarshal([]byte(d), v.Addr().Interface()); err != nil {
			fields[path] = err.Error()

			return
		}
	}
	for n := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(n).Tag.Get("json"), ",")
		member, ok := members[name]
		delete(members, name)
		if ok {
			fill(v.Field(n), member, join(path, name), fields)
		} else if !strings.Contains(options, "omitempty") && join(path, name) != "Version" {
			v.Field(n).SetZero()
			fields[join(path, name)] = "is required"
		}
	}
	for name := range members {
		fields[join(path, name)] = "unknown key"
	}
}

func fillMap(v reflect.Value, raw json.RawMessage, path string, fields map[string]string) {
	members, ok := object(raw, path, fields)
	if !ok {
		return
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(members)))
	for key, member := range members {
		e := reflect.New(v.Type().Elem()).Elem()
		fill(e, member, join(path, key), fields)
		v.SetMapIndex(reflect.ValueOf(key), e)
	}
}

func fillSlice(v reflect.Value, raw json.RawMessage, path string, fields map[string]string) {
	var members []json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil || members == nil {
		fields[path] = "must be an array"

		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(members), len(members)))
	for n, member := range members {
		fill(v.Index(n), member, join(path, strconv.Itoa(n)), fields)
	}
}
