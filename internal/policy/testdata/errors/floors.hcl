fleet {
  requests { rate = 100 }
  book "kalahari-core" { share = percent(60) }
  book "namib-factors" { share = percent(45) }
  book "*" {
    requests { floor = 1 }
  }
  site "okuryangava"   { share = percent(90) }
}
