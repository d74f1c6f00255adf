package document

import "github.com/comfreyhoist/comfreyhoist/internal/control/inifile"

// Source is the text of a document and the name of its file.
type Source struct {
	Name string
	Text []byte
}

// CheckAll returns the faults of each document, and a fault for each service that more than one document describes.
func CheckAll(sources []Source) inifile.Faults {
	var all inifile.Faults
	fileOfService := map[string]string{}
	for _, s := range sources {
		d, faults := ParseFile(s.Name, s.Text)
		all = append(all, faults...)
		if d == nil {
			continue
		}
		if other, exists := fileOfService[d.Service]; exists {
			all = append(all, inifile.Fault{
				File:    s.Name,
				Line:    inifile.Load(s.Name, s.Text).Line(serviceSection, "name"),
				Section: serviceSection,
				Key:     "name",
				Reason:  "the service " + d.Service + " is described by " + other + " too",
			})
			continue
		}
		fileOfService[d.Service] = s.Name
	}
	return all
}
