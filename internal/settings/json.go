package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"olivebridge/balancer"
)

// decodeJSON decodes the balancer's settings from one nested JSON object, with the names and units of the text form.
func decodeJSON(data []byte) (balancer.Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber() // keeps numbers as written, as in the text form
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings: %w", err)
	}
	pairs := map[string]string{}
	flatten(pairs, "", tree)
	return decodePairs(pairs)
}

// flatten adds a JSON value to pairs in the text form: a list of objects as its length and one path prefix per
// position, a list of scalars as one value with commas.
func flatten(pairs map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, item := range value {
			flatten(pairs, strings.TrimPrefix(path+"."+name, "."), item)
		}
	case []any:
		flattenList(pairs, path, value)
	default:
		pairs[path] = scalarText(value)
	}
}

func flattenList(pairs map[string]string, path string, list []any) {
	var plain []string
	for i, item := range list {
		if _, object := item.(map[string]any); object {
			flatten(pairs, path+"."+strconv.Itoa(i), item)
			pairs[path+".count"] = strconv.Itoa(len(list))
		} else {
			plain = append(plain, scalarText(item))
		}
	}
	pairs[path] = strings.Join(plain, ",")
}

// scalarText returns the text form of a scalar, with "_" for each space and comma in it.
func scalarText(value any) string {
	return strings.NewReplacer(" ", "_", ",", "_").Replace(fmt.Sprint(value))
}
