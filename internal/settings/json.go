package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"olivebridge/balancer"
)

// decodeJSON decodes the balancer's settings from one nested JSON object, with the names and units of the text.
func decodeJSON(data []byte) (balancer.Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber() // a number keeps the form that the text has
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings: %w", err)
	}
	pairs := map[string]string{}
	flatten(pairs, "", tree)
	return decodePairs(pairs)
}

// flatten writes a JSON value as the text has it: a list of objects by its length and positions, a list of plain values
// with commas.
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

// scalarText writes a plain value; a space or comma within it becomes "_".
func scalarText(value any) string {
	return strings.NewReplacer(" ", "_", ",", "_").Replace(fmt.Sprint(value))
}
