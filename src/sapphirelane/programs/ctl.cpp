#include "sapphirelane/admission/key_directory.h"
#include "sapphirelane/base/secret.h"
#include <iostream>
int
main()
{
  sapphirelane::StartSecrets();
  const std::string key = sapphirelane::MakeKey();
  std::cout << key << " " << sapphirelane::DigestOf(key) << "\n";
  return 0;
}
