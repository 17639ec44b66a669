package surveyor

import ("os";"testing")

func TestTrial(t *testing.T) { all, err := Processes(); if err != nil { t.Fatal(err) }; for _, s := range all { if err := s.Run(os.Stdout); err != nil { t.Fatal(err) } } }
