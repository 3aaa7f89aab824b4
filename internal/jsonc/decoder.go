package jsonc

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// decoder walks the syntax tree and the destination value in parallel.
type decoder struct {
	src      *Source
	problems Problems
}

func (d *decoder) add(v hujson.Value, field, message string) {
	p := Problem{File: d.src.file, Field: field, Message: message}
	p.Line, p.Column = d.src.lineColumn(v.StartOffset)
	d.problems = append(d.problems, p)
}

func (d *decoder) decodeRoot(root hujson.Value, dst any) {
	d.value(root, "", reflect.ValueOf(dst).Elem())
}

func (d *decoder) value(v hujson.Value, field string, dst reflect.Value) {
	d.src.offsets[field] = v.StartOffset
	switch {
	case dst.Kind() == reflect.Pointer:
		dst.Set(reflect.New(dst.Type().Elem()))
		d.value(v, field, dst.Elem())
	case reflect.PointerTo(dst.Type()).Implements(textUnmarshaler):
		d.text(v, field, dst)
	case dst.Kind() == reflect.Struct:
		d.object(v, field, dst)
	case dst.Kind() == reflect.Map:
		d.mapping(v, field, dst)
	case dst.Kind() == reflect.Slice:
		d.array(v, field, dst)
	default:
		d.scalar(v, field, dst)
	}
}

func (d *decoder) object(v hujson.Value, field string, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.add(v, field, mismatch("an object", v))
		return
	}
	fields := fieldsByName(dst)
	d.members(obj, field, func(m hujson.ObjectMember, name, path string) {
		target, known := fields[name]
		if !known {
			d.add(m.Name, path, "unknown field")
			return
		}
		d.value(m.Value, path, target)
	})
}

func (d *decoder) mapping(v hujson.Value, field string, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.add(v, field, mismatch("an object", v))
		return
	}
	dst.Set(reflect.MakeMap(dst.Type()))
	d.members(obj, field, func(m hujson.ObjectMember, name, path string) {
		elem := reflect.New(dst.Type().Elem()).Elem()
		d.value(m.Value, path, elem)
		dst.SetMapIndex(reflect.ValueOf(name).Convert(dst.Type().Key()), elem)
	})
}

// members calls visit for each member of obj and reports duplicate names.
func (d *decoder) members(obj *hujson.Object, field string, visit func(m hujson.ObjectMember, name, path string)) {
	seen := make(map[string]bool, len(obj.Members))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := join(field, name)
		if seen[name] {
			d.add(m.Name, path, "duplicate field")
			continue
		}
		seen[name] = true
		visit(m, name, path)
	}
}

func (d *decoder) array(v hujson.Value, field string, dst reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.add(v, field, mismatch("an array", v))
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements))
	for i, e := range arr.Elements {
		d.value(e, fmt.Sprintf("%s[%d]", field, i), out.Index(i))
	}
	dst.Set(out)
}

func (d *decoder) text(v hujson.Value, field string, dst reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.add(v, field, mismatch("a string", v))
		return
	}
	u := dst.Addr().Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(lit.String())); err != nil {
		d.add(v, field, err.Error())
	}
}

func (d *decoder) scalar(v hujson.Value, field string, dst reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() == 'n' {
		d.add(v, field, mismatch(wanted(dst.Kind()), v))
		return
	}
	if err := json.Unmarshal(lit, dst.Addr().Interface()); err != nil {
		d.add(v, field, mismatch(wanted(dst.Kind()), v))
	}
}

// fieldsByName returns the fields of a struct by their JSON names.
func fieldsByName(s reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, s.NumField())
	for i := range s.NumField() {
		name, _, _ := strings.Cut(s.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = s.Field(i)
		}
	}
	return fields
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func mismatch(want string, v hujson.Value) string {
	return fmt.Sprintf("want %s, have %s", want, describe(v))
}

func describe(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	default:
		return "the number " + v.Value.(hujson.Literal).String()
	}
}

func wanted(k reflect.Kind) string {
	switch {
	case k == reflect.String:
		return "a string"
	case k == reflect.Bool:
		return "true or false"
	case k == reflect.Float32 || k == reflect.Float64:
		return "a number"
	case k >= reflect.Uint && k <= reflect.Uint64:
		return "a whole number from 0"
	default:
		return "a whole number"
	}
}
