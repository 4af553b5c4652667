package fault

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"olivebridge/internal/lab/figure"
)

// decode fills a struct from a tree and keeps a problem for each key that is
// unknown or of the wrong type. It is stricter than the library's decoder, which
// takes a bare 5 for a length of time of 5 ns, one table for a list of them, and
// a key in any case.
func decode(t *tree, into any) error {
	d := decoder{}
	d.value("", t.root, reflect.ValueOf(into).Elem())
	return d.bad.in(t)
}

// itemDecoder is a type with a form of its own.
type itemDecoder interface{ decodeItem(*item) error }

// Scalar is a type of another package that is written as a single value, of one
// kind or another: it is given a string, a float64, an int64 or a bool.
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
		if !f.Anonymous { // what an embedded struct holds stands beside the others
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

// scalar reads a single value.
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
			return fmt.Errorf("%d is below 0", n)
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
		return fmt.Errorf("no form for %s", v.Type())
	}
	return nil
}

// scalarValue is a single value as a Scalar is given it.
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

// typeError says what should stand where something else does.
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

// tomlKey is the key of a struct's field.
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
