package fault

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"olivebridge/internal/lab/figure"
)

// decode decodes a tree into a struct and returns the first error by line; a key that is unknown or has a value of the
// wrong type is an error. It is stricter than the library's decoder, which accepts an integer 5 as a duration of 5 ns,
// a single table in place of a list of tables, and keys that differ in case.
func decode(t *tree, into any) error {
	d := decoder{}
	d.value("", t.root, reflect.ValueOf(into).Elem())
	return d.bad.in(t)
}

// itemDecoder is implemented by types of this package that decode themselves from an item.
type itemDecoder interface{ decodeItem(*item) error }

// Scalar is implemented by types of other packages that are written as a single value. FromFile receives a string, a
// float64, an int64 or a bool.
type Scalar interface{ FromFile(v any) error }

type decoder struct{ bad problems }

func (d *decoder) value(key string, i *item, v reflect.Value) {
	if f, ok := v.Addr().Interface().(itemDecoder); ok {
		if err := f.decodeItem(i); err != nil {
			d.bad.add(key, "%s", err)
		}
		return
	}
	if s, ok := v.Addr().Interface().(Scalar); ok {
		plain, err := scalarValue(i)
		if err == nil {
			err = s.FromFile(plain)
		}
		if err != nil {
			d.bad.add(key, "%s", err)
		}
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.table(key, i, v)
	case reflect.Slice:
		d.list(key, i, v)
	case reflect.Map:
		if i.kind != unstable.Table {
			d.bad.add(key, "%s", typeError("a table", i))
			return
		}
		v.Set(reflect.MakeMap(v.Type()))
		for _, k := range i.keys {
			e := reflect.New(v.Type().Elem()).Elem()
			d.value(join(key, k), i.child(k), e)
			v.SetMapIndex(reflect.ValueOf(k), e)
		}
	default:
		if err := scalar(i, v); err != nil {
			d.bad.add(key, "%s", err)
		}
	}
}

func (d *decoder) table(key string, i *item, v reflect.Value) {
	if i.kind != unstable.Table {
		d.bad.add(key, "%s", typeError("a table", i))
		return
	}
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(v.Type()) {
		if !f.Anonymous { // the fields of an embedded struct are keys of the same table
			fields[tomlKey(f)] = f.Index
		}
	}
	for _, k := range i.keys {
		n, ok := fields[k]
		if !ok {
			d.bad.add(join(key, k), "unknown key")
			continue
		}
		d.value(join(key, k), i.child(k), v.FieldByIndex(n))
	}
}

func (d *decoder) list(key string, i *item, v reflect.Value) {
	if i.kind != unstable.Array {
		d.bad.add(key, "%s", typeError("a list", i))
		return
	}
	if len(i.items) == 0 {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(i.items), len(i.items)))
	for n, e := range i.items {
		d.value(fmt.Sprintf("%s[%d]", key, n), e, v.Index(n))
	}
}

// scalar decodes a single value into a field.
func scalar(i *item, v reflect.Value) error {
	switch v.Interface().(type) {
	case figure.Span:
		s, err := span(i)
		v.SetInt(int64(s))
		return err
	case float64:
		f, err := float(i)
		v.SetFloat(f)
		return err
	case int:
		n, err := integer(i)
		v.SetInt(n)
		return err
	case uint64:
		n, err := integer(i)
		if err == nil && n < 0 {
			return fmt.Errorf("%d is less than 0", n)
		}
		v.SetUint(uint64(n))
		return err
	case bool:
		if i.kind != unstable.Bool {
			return typeError("true or false", i)
		}
		v.SetBool(i.text == "true")
	case string:
		if i.kind != unstable.String {
			return typeError("a string", i)
		}
		v.SetString(i.text)
	default:
		return fmt.Errorf("type %s cannot be decoded", v.Type())
	}
	return nil
}

// scalarValue returns the value that is passed to Scalar.FromFile.
func scalarValue(i *item) (any, error) {
	switch i.kind {
	case unstable.String:
		return i.text, nil
	case unstable.Float:
		return float(i)
	case unstable.Integer:
		return integer(i)
	case unstable.Bool:
		return i.text == "true", nil
	}
	return nil, typeError("a single value", i)
}

func span(i *item) (s figure.Span, err error) {
	if i.kind != unstable.String {
		return 0, typeError(`a length of time such as "1.5s"`, i)
	}
	err = s.UnmarshalText([]byte(i.text))
	return s, err
}

func float(i *item) (float64, error) {
	if i.kind != unstable.Float && i.kind != unstable.Integer {
		return 0, typeError("a number", i)
	}
	if i.kind == unstable.Integer {
		n, err := integer(i)
		return float64(n), err
	}
	f, err := strconv.ParseFloat(strings.ReplaceAll(i.text, "_", ""), 64)
	if err != nil {
		return 0, fmt.Errorf("not a number: %s", i.text)
	}
	return f, nil
}

func integer(i *item) (int64, error) {
	if i.kind != unstable.Integer {
		return 0, typeError("a whole number", i)
	}
	n, err := strconv.ParseInt(i.text, 0, 64)
	if err != nil {
		return 0, fmt.Errorf("not a whole number: %s", i.text)
	}
	return n, nil
}

// typeError returns an error that names the expected type and the type or value found.
func typeError(what string, i *item) error {
	is := map[unstable.Kind]string{
		unstable.Table: "a table", unstable.Array: "a list", unstable.String: "a string", unstable.Bool: i.text,
		unstable.Integer: "the number " + i.text, unstable.Float: "the number " + i.text,
	}[i.kind]
	if is == "" {
		is = i.text
	}
	return fmt.Errorf("want %s, not %s", what, is)
}

// tomlKey returns the TOML key of a struct's field.
func tomlKey(f reflect.StructField) string {
	n, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return n
}

func join(key, k string) string {
	if key == "" {
		return k
	}
	return key + "." + k
}
